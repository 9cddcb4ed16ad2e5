#include <StandIns/Target/StandInConnection.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <sstream>

#include <sys/socket.h>
#include <unistd.h>

namespace Sapphire {

namespace {

constexpr std::size_t receiveBytes = 65536;
constexpr std::size_t patternPieceBytes = 16384;
constexpr int hexadecimal = 16;

std::string chunkHead(std::size_t bytes)
{
    std::array<char, 20> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes, hexadecimal);
    return std::string(digits.data(), end.ptr) + "\r\n";
}

StandInRequest convert(const Poco::Net::HTTPRequest &head)
{
    StandInRequest request;
    request.method = head.getMethod();
    request.uri = head.getURI();
    const Poco::URI uri(request.uri);
    request.path = uri.getPath();
    for (const auto &[name, value] : uri.getQueryParameters()) {
        request.query[name] = value;
    }
    for (const auto &[name, value] : head) {
        request.headers.emplace_back(name, value);
    }
    request.isChunked = head.getChunkedTransferEncoding();
    if (head.hasContentLength()) {
        request.bodyBytes = static_cast<std::uint64_t>(head.getContentLength64());
    }
    return request;
}

} // namespace

std::string StandInRequest::header(const std::string &name) const
{
    for (const auto &[candidate, value] : headers) {
        if (Poco::icompare(candidate, name) == 0) {
            return value;
        }
    }
    return "";
}

std::string StandInRequest::queryText(const std::string &name) const
{
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::uint64_t StandInRequest::queryNumber(const std::string &name, std::uint64_t defaultValue) const
{
    Poco::UInt64 value = 0;
    return Poco::NumberParser::tryParseUnsigned64(queryText(name), value) ? value : defaultValue;
}

StandInConnection::StandInConnection(int descriptor) : m_descriptor(descriptor)
{
}

StandInConnection::~StandInConnection()
{
    ::close(m_descriptor);
}

void StandInConnection::resetOnClose()
{
    const linger immediate { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

bool StandInConnection::receive()
{
    std::array<char, receiveBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv.
    while (true) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_input.append(buffer.data(), static_cast<std::size_t>(count));
            if (static_cast<std::size_t>(count) < buffer.size()) {
                return true;
            }
        } else if (count < 0 && errno == EINTR) {
            continue;
        } else {
            return count < 0 && errno == EAGAIN;
        }
    }
}

std::optional<StandInRequest> StandInConnection::takeHead(bool &isMalformed)
{
    const std::size_t end = m_input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::istringstream stream(m_input.substr(0, end + 4));
    m_input.erase(0, end + 4);
    try {
        Poco::Net::HTTPRequest head;
        head.read(stream);
        return convert(head);
    } catch (const Poco::Exception &) {
        isMalformed = true;
        return std::nullopt;
    }
}

bool StandInConnection::takeBody(StandInRequest &head, std::string &bytes)
{
    if (head.isChunked) {
        return takeChunk(bytes);
    }
    const std::size_t count = std::min<std::uint64_t>(head.bodyBytes, m_input.size());
    bytes.assign(m_input, 0, count);
    m_input.erase(0, count);
    head.bodyBytes -= count;
    return head.bodyBytes == 0;
}

bool StandInConnection::takeChunk(std::string &bytes)
{
    while (true) {
        if (m_chunkLeft > 0) {
            // The line end after the data counts as part of the chunk.
            const std::size_t count = std::min<std::uint64_t>(m_chunkLeft, m_input.size());
            const std::uint64_t dataLeft = m_chunkLeft > 2 ? m_chunkLeft - 2 : 0;
            bytes.append(m_input, 0, std::min<std::uint64_t>(count, dataLeft));
            m_input.erase(0, count);
            m_chunkLeft -= count;
            if (m_chunkLeft > 0) {
                return false;
            }
        }
        const std::size_t lineEnd = m_input.find("\r\n");
        if (lineEnd == std::string::npos) {
            return false;
        }
        std::uint64_t size = 0;
        std::from_chars(m_input.data(), m_input.data() + lineEnd, size, hexadecimal);
        if (size == 0) {
            if (m_input.size() < lineEnd + 4) {
                return false;
            }
            m_input.erase(0, lineEnd + 4);
            return true;
        }
        m_input.erase(0, lineEnd + 2);
        m_chunkLeft = size + 2;
    }
}

void StandInConnection::queuePattern(std::uint64_t count, bool isChunked)
{
    m_patternLeft = count;
    m_patternIsChunked = isChunked;
}

void StandInConnection::refill()
{
    m_output.clear();
    m_sent = 0;
    const std::size_t count = std::min<std::uint64_t>(m_patternLeft, patternPieceBytes);
    if (count == 0) {
        return;
    }
    if (m_patternIsChunked) {
        m_output += chunkHead(count);
    }
    m_output.append(count, 'x');
    m_patternLeft -= count;
    if (m_patternIsChunked) {
        m_output += m_patternLeft == 0 ? "\r\n0\r\n\r\n" : "\r\n";
    }
}

bool StandInConnection::flush()
{
    while (hasOutput()) {
        if (m_sent == m_output.size()) {
            refill();
        }
        const ssize_t count =
            ::send(m_descriptor, m_output.data() + m_sent, m_output.size() - m_sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        m_sent += static_cast<std::size_t>(count);
    }
    m_output.clear();
    m_sent = 0;
    return true;
}

} // namespace Sapphire
