#include <LibTarget/AnswerReader.h>

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace Sapphire {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr int firstFinalStatus = 200;

boost::leaf::error_id malformed(const std::string &detail)
{
    return fail(ErrorCode::DataLoss, "malformed answer: " + detail, Verdict::MayHaveRun);
}

bool hasNoBody(int status)
{
    return status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

} // namespace

// The buffer stays uninitialized: only bytes that were received are read from it.
// NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
AnswerReader::AnswerReader(TargetConnection &connection, bool isHeadRequest)
    : m_connection(connection), m_isHeadRequest(isHeadRequest)
{
}

Result<void> AnswerReader::readHead(const WaitLimit &limit)
{
    while (true) {
        const std::string_view received(m_buffer.data() + m_begin, m_end - m_begin);
        const std::size_t end = received.find(headEnd);
        if (end == std::string_view::npos) {
            BOOST_LEAF_CHECK(fill(limit));
            continue;
        }
        BOOST_LEAF_CHECK(parseHead(end + headEnd.size()));
        if (m_head.getStatus() >= firstFinalStatus) {
            return determineFraming();
        }
        if (m_head.getStatus() == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS) {
            return malformed("unrequested protocol switch");
        }
    }
}

Result<void> AnswerReader::fill(const WaitLimit &limit)
{
    if (m_begin == m_end) {
        m_begin = 0;
        m_end = 0;
    } else if (m_end == m_buffer.size() && m_begin > 0) {
        std::copy(m_buffer.begin() + m_begin, m_buffer.begin() + m_end, m_buffer.begin());
        m_end -= m_begin;
        m_begin = 0;
    }
    if (m_end == m_buffer.size()) {
        return malformed("head longer than " + std::to_string(bufferBytes) + " bytes");
    }
    BOOST_LEAF_AUTO(count, m_connection.receive(std::span(m_buffer).subspan(m_end), limit));
    if (count == 0) {
        return fail(ErrorCode::DataLoss, "the target closed the connection before the answer was complete",
                    Verdict::MayHaveRun);
    }
    m_hasBegun = true;
    m_end += count;
    return {};
}

Result<void> AnswerReader::parseHead(std::size_t length)
{
    Poco::MemoryInputStream stream(m_buffer.data() + m_begin, static_cast<std::streamsize>(length));
    m_begin += length;
    m_head.clear();
    try {
        m_head.read(stream);
    } catch (const Poco::Exception &exception) {
        return malformed(exception.displayText());
    }
    return {};
}

Result<void> AnswerReader::determineFraming()
{
    const std::string &version = m_head.getVersion();
    if (version != Poco::Net::HTTPMessage::HTTP_1_1 && version != Poco::Net::HTTPMessage::HTTP_1_0) {
        return malformed("version " + version);
    }
    int lengths = 0;
    bool isChunked = false;
    for (const auto &[name, value] : m_head) {
        if (Poco::icompare(name, "Content-Length") == 0) {
            std::uint64_t bytes = 0;
            const auto parsed = std::from_chars(value.data(), value.data() + value.size(), bytes);
            if (value.empty() || parsed.ec != std::errc() || parsed.ptr != value.data() + value.size()) {
                return malformed("Content-Length " + value);
            }
            m_announcedBytes = bytes;
            ++lengths;
        } else if (Poco::icompare(name, "Transfer-Encoding") == 0) {
            if (isChunked || Poco::icompare(value, "chunked") != 0) {
                return malformed("Transfer-Encoding " + value);
            }
            isChunked = true;
        }
    }
    if (lengths > 1 || (lengths == 1 && isChunked)) {
        return malformed("conflicting body lengths");
    }
    if (m_isHeadRequest || hasNoBody(m_head.getStatus())) {
        m_isComplete = true;
        return {};
    }
    if (lengths == 0 && !isChunked) {
        // A body that is delimited by the end of the connection can't be distinguished from a truncated one.
        return malformed("neither Content-Length nor chunked");
    }
    m_framing = isChunked ? Framing::Chunked : Framing::Length;
    m_left = m_announcedBytes.value_or(0);
    m_isComplete = m_framing == Framing::Length && m_left == 0;
    return {};
}

Result<std::size_t> AnswerReader::readBody(std::span<char> buffer, const WaitLimit &limit)
{
    if (m_isComplete) {
        return std::size_t { 0 };
    }
    if (m_framing == Framing::Chunked) {
        return readChunked(buffer, limit);
    }
    if (m_begin == m_end) {
        BOOST_LEAF_CHECK(fill(limit));
    }
    const std::size_t available = std::min(buffer.size(), m_end - m_begin);
    const std::size_t count = std::min<std::uint64_t>(available, m_left);
    std::copy_n(m_buffer.data() + m_begin, count, buffer.data());
    m_begin += count;
    m_left -= count;
    m_isComplete = m_left == 0;
    return count;
}

Result<std::size_t> AnswerReader::readChunked(std::span<char> buffer, const WaitLimit &limit)
{
    while (true) {
        const std::span<const char> received(m_buffer.data() + m_begin, m_end - m_begin);
        BOOST_LEAF_AUTO(progress, m_decoder.decode(received, buffer));
        m_begin += progress.consumed;
        m_isComplete = m_decoder.isAtEnd();
        if (progress.produced > 0 || m_isComplete) {
            return progress.produced;
        }
        BOOST_LEAF_CHECK(fill(limit));
    }
}

bool AnswerReader::isConnectionReusable() const
{
    return m_isComplete && m_begin == m_end && m_head.getKeepAlive() && m_head.getVersion() == "HTTP/1.1";
}

} // namespace Sapphire
