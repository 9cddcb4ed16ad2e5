#pragma once

#include <LibCore/Clock.h>
#include <LibExchange/RequestHandler.h>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace Sapphire {

/// The body of a caller's HTTP request.
class HttpBodySource final : public BodySource
{
public:
    /// Bodies longer than `mostBytes` fail with ResourceExhausted.
    HttpBodySource(Poco::Net::HTTPServerRequest &request, const Poco::Net::StreamSocket &socket,
                   std::uint64_t mostBytes);

    Result<std::size_t> read(std::span<char> buffer) override;
    /// Returns whether the end of the body was reached, so that the connection can carry another request.
    bool isAtEnd() const
    {
        return m_isAtEnd;
    }

private:
    Result<std::size_t> checkEnd();

    std::istream &m_stream;
    const Poco::Net::StreamSocket &m_socket;
    std::optional<std::uint64_t> m_announcedBytes;
    std::uint64_t m_mostBytes;
    std::uint64_t m_readBytes { 0 };
    bool m_isAtEnd;
};

/// Returns whether the other side has closed the connection.
bool isClosedByPeer(const Poco::Net::StreamSocket &socket);

} // namespace Sapphire
