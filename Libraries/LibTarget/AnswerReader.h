#pragma once

#include <LibTarget/ChunkedDecoder.h>
#include <LibTarget/TargetConnection.h>

#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <optional>
#include <string>

namespace Sapphire {

/// Reads one HTTP answer from a connection and verifies that it is complete.
class AnswerReader
{
public:
    /// An answer to HEAD has no body, whatever its headers say.
    AnswerReader(TargetConnection &connection, bool isHeadRequest);

    /// Reads the head and skips interim (1xx) answers. Fails as TargetConnection::receive() does, and with DataLoss if
    /// the answer is not valid HTTP, ends early or doesn't declare where its body ends.
    [[nodiscard]] Result<void> readHead(const WaitLimit &limit);
    const Poco::Net::HTTPResponse &head() const
    {
        return m_head;
    }
    /// The length of the body or, for HEAD, the length that the answer to GET would have.
    std::optional<std::uint64_t> announcedBytes() const
    {
        return m_announcedBytes;
    }

    /// Returns the number of bytes read; zero at the end of a complete body.
    /// Fails as TargetConnection::receive() does, and with DataLoss if the body is truncated or malformed.
    [[nodiscard]] Result<std::size_t> readBody(std::span<char> buffer, const WaitLimit &limit);

    /// Whether the next request may use the connection: the answer was complete, no bytes followed it and the target
    /// keeps the connection open.
    bool isConnectionReusable() const;
    /// Whether any byte of the answer has arrived.
    bool hasBegun() const
    {
        return m_hasBegun;
    }

private:
    enum class Framing {
        None,
        Length,
        Chunked,
    };

    Result<void> fill(const WaitLimit &limit);
    Result<void> parseHead(std::size_t length);
    Result<void> determineFraming();
    Result<std::size_t> readChunked(std::span<char> buffer, const WaitLimit &limit);

    static constexpr std::size_t bufferBytes = 16384;

    TargetConnection &m_connection;
    bool m_isHeadRequest;
    Poco::Net::HTTPResponse m_head;
    Framing m_framing { Framing::None };
    std::optional<std::uint64_t> m_announcedBytes;
    std::uint64_t m_left { 0 };
    ChunkedDecoder m_decoder;
    std::array<char, bufferBytes> m_buffer; ///< Filled from m_begin to m_end.
    std::size_t m_begin { 0 };
    std::size_t m_end { 0 };
    bool m_isComplete { false };
    bool m_hasBegun { false };
};

} // namespace Sapphire
