#pragma once

#include <LibNet/HttpParser.h>
#include <LibTarget/TargetConnection.h>

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
    const HttpHead &head() const
    {
        return m_parser.head();
    }
    /// The length of the body or, for HEAD, the length that the answer to GET would have.
    std::optional<std::uint64_t> announcedBytes() const
    {
        return m_parser.head().bodyBytes;
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
    /// Parses received bytes, and waits for some if there are none.
    Result<void> parseMore(const WaitLimit &limit);
    Result<void> receive(const WaitLimit &limit);

    static constexpr std::size_t bufferBytes = 16384;

    TargetConnection &m_connection;
    HttpParser m_parser;
    std::array<char, bufferBytes> m_buffer; ///< Holds bytes that are not parsed yet from m_begin to m_end.
    std::size_t m_begin { 0 };
    std::size_t m_end { 0 };
    std::string m_body; ///< Holds body bytes that are not given out yet from m_bodyBegin.
    std::size_t m_bodyBegin { 0 };
    bool m_hasBegun { false };
};

} // namespace Sapphire
