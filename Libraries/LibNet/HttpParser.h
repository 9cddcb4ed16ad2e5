#pragma once

#include <LibCore/Result.h>
#include <LibExchange/Messages.h>
#include <LibNet/HttpFramingCheck.h>

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Whether answers with this status never have a body.
bool hasNoBodyByStatus(int status);

/// The start line and headers of an HTTP message. Names and values are kept as received.
struct HttpHead
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: path and query.
    int status { 0 }; ///< Answers only.
    bool isHttp11 { true };
    std::vector<HeaderField> headers;
    /// Whether the connection may be kept open for another message after this one.
    bool keepsConnection { true };
    /// The value of Content-Length, unless it is missing or the body is chunked.
    std::optional<std::uint64_t> bodyBytes;
    bool isChunked { false };

    /// Whether it is the head of an informational answer (1xx), which precedes the answer to the request.
    bool isInformational() const;
    /// Returns the value of the first header with that name, ignoring case.
    std::optional<std::string_view> header(std::string_view name) const;
    /// Returns how many headers have that name, ignoring case.
    std::size_t count(std::string_view name) const;
};

/// Parses the messages of one connection, one after the other, from pieces of any size.
///
/// NOTE: POCO reads messages from blocking streams, decodes encoded words in header values and limits a value to 8 KiB.
/// A proxy that forwards headers unchanged needs another parser, so this one wraps http_parser.
class HttpParser
{
public:
    enum class Kind {
        Request,
        Answer,
    };

    /// feed() fails for heads of more than `mostHeadBytes`.
    HttpParser(Kind kind, std::size_t mostHeadBytes);

    /// Changes the limit of heads. Must be called before the first byte of a message.
    void setMostHeadBytes(std::size_t mostHeadBytes)
    {
        m_mostHeadBytes = mostHeadBytes;
    }

    /// Begins the next message. The answer to a HEAD request has no body, whatever its headers say.
    void begin(bool isAnswerToHead = false);

    /// Parses bytes up to the end of the message at most and returns how many it consumed.
    /// Fails with InvalidArgument for malformed HTTP (RFC 9112) and for an answer that changes the protocol, which
    /// nobody asks for, and with ResourceExhausted for a head that is too large. No part of a head that fails is given
    /// out; of a body, what came before the fault may have been.
    [[nodiscard]] Result<std::size_t> feed(std::string_view bytes);
    /// Begins the next message if the complete one is an informational answer.
    void skipInformational();
    /// Signals the end of the input. Fails with DataLoss if the message is incomplete.
    [[nodiscard]] Result<void> finish();

    /// Whether any byte of the message was fed.
    bool hasBegun() const
    {
        return m_hasBegun;
    }
    bool isHeadComplete() const
    {
        return m_isHeadComplete;
    }
    bool isComplete() const
    {
        return m_isComplete;
    }
    /// Whether the body ends only when the peer closes the connection.
    bool endsWithConnection() const;
    const HttpHead &head() const
    {
        return m_head;
    }
    /// Returns the body bytes that were parsed since the last call, without chunk framing.
    std::string takeBody();

private:
    static const http_parser_settings &callbacks();
    static HttpParser &self(http_parser *parser)
    {
        return *static_cast<HttpParser *>(parser->data);
    }

    Result<void> checkHead(std::string_view bytes);
    /// Checks the framing of chunks up to this position of the bytes being parsed.
    void checkChunksUntil(const char *position);
    int headComplete();
    /// Returns what is wrong with the complete head, or nothing.
    std::string_view faultOfHead() const;
    std::string_view faultOfBodyLength() const;
    void addHeaderName(std::string_view bytes);
    void addHeaderValue(std::string_view bytes);
    int addBody(std::string_view bytes);

    Kind m_kind;
    std::size_t m_mostHeadBytes;
    http_parser m_parser {};
    HttpHead m_head;
    HttpHeadCheck m_headCheck;
    HttpChunkCheck m_chunkCheck;
    const char *m_uncheckedFrom { nullptr }; ///< In the bytes being parsed: where the unchecked framing begins.
    std::string m_fault; ///< Empty if none was found besides those that http_parser reports.
    std::string m_body;
    std::size_t m_headBytes { 0 };
    bool m_isAnswerToHead { false };
    bool m_isNameOpen { false };
    bool m_hasBegun { false };
    bool m_isHeadComplete { false };
    bool m_isComplete { false };
};

} // namespace Sapphire
