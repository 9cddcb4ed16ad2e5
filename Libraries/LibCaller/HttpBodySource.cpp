#include <LibCaller/HttpBodySource.h>

#include <Poco/Exception.h>

#include <sys/socket.h>

#include <algorithm>

namespace Sapphire {

bool isClosedByPeer(const Poco::Net::StreamSocket &socket)
{
    char byte = 0;
    const ssize_t count = recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

HttpBodySource::HttpBodySource(Poco::Net::HTTPServerRequest &request, const Poco::Net::StreamSocket &socket,
                               std::uint64_t mostBytes)
    : m_stream(request.stream())
    , m_socket(socket)
    , m_mostBytes(mostBytes)
    , m_isAtEnd(!request.getChunkedTransferEncoding() && !request.hasContentLength())
{
    if (request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        m_announcedBytes = static_cast<std::uint64_t>(request.getContentLength64());
    }
}

Result<std::size_t> HttpBodySource::read(std::span<char> buffer)
{
    if (m_isAtEnd) {
        return std::size_t { 0 };
    }
    if (m_announcedBytes && *m_announcedBytes > m_mostBytes) {
        return fail(ErrorCode::ResourceExhausted, "the body is longer than " + std::to_string(m_mostBytes) + " bytes");
    }
    try {
        std::streambuf &source = *m_stream.rdbuf();
        if (source.sgetc() == std::char_traits<char>::eof()) {
            return checkEnd();
        }
        const auto available = std::min(static_cast<std::streamsize>(buffer.size()), source.in_avail());
        const auto count = static_cast<std::size_t>(source.sgetn(buffer.data(), available));
        m_readBytes += count;
        if (m_readBytes > m_mostBytes) {
            return fail(ErrorCode::ResourceExhausted,
                        "the body is longer than " + std::to_string(m_mostBytes) + " bytes");
        }
        return count;
    } catch (const Poco::TimeoutException &) {
        return fail(ErrorCode::Timeout, "the caller didn't send the body in time");
    } catch (const Poco::Exception &) {
        return fail(ErrorCode::Cancelled, "the caller closed the connection while it sent the body");
    }
}

Result<std::size_t> HttpBodySource::checkEnd()
{
    // POCO's streams end in the same way after the whole body and after a connection that was closed in the middle.
    const bool isShort = m_announcedBytes && m_readBytes < *m_announcedBytes;
    // NOTE: a malformed chunk header on a connection that stays open also ends the stream and can't be detected here.
    const bool isCut = !m_announcedBytes && isClosedByPeer(m_socket);
    if (isShort || isCut) {
        return fail(ErrorCode::Cancelled, "the caller closed the connection while it sent the body");
    }
    m_isAtEnd = true;
    return std::size_t { 0 };
}

} // namespace Sapphire
