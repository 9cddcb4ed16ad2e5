#pragma once

#include <LibCore/Result.h>
#include <LibExchange/Messages.h>

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Whether an answer with this status never has a body.
bool hasNoBodyByStatus(int status);

/// What an HTTP message says before its body. Names and values stand as they were received.
struct HttpHead
{
    std::string method; ///< Of a request.
    std::string target; ///< Path and query of a request.
    int status { 0 }; ///< Of an answer.
    bool isHttp11 { true };
    std::vector<HeaderField> headers;
    /// Whether the connection may carry another message after this one.
    bool keepsConnection { true };
    /// The length of the body if it was announced.
    std::optional<std::uint64_t> bodyBytes;
    bool isChunked { false };

    /// Returns the value of the first header of that name, or nothing. Case is ignored.
    std::optional<std::string_view> header(std::string_view name) const;
    /// Returns how many headers have that name.
    std::size_t count(std::string_view name) const;
};

/// Reads the messages of one connection, one after the other, from the pieces in which they arrive.
///
/// NOTE: POCO reads messages from blocking streams, decodes encoded words in header values and limits a value to 8 KiB.
/// A relay that passes headers on unchanged needs another parser, so this one wraps http_parser.
class HttpParser
{
public:
    enum class Kind {
        Request,
        Answer,
    };

    /// Heads of more bytes are refused.
    HttpParser(Kind kind, std::size_t mostHeadBytes);

    /// Begins the next message. The answer to HEAD has no body, whatever its headers say.
    void begin(bool isAnswerToHead = false);

    /// Takes bytes up to the end of the message at most and returns how many it took.
    /// Fails with InvalidArgument for bytes that are no HTTP and ResourceExhausted for a head that is too large.
    [[nodiscard]] Result<std::size_t> feed(std::string_view bytes);
    /// Tells that the peer sends nothing more. Fails with DataLoss if the message is incomplete.
    [[nodiscard]] Result<void> finish();

    /// Whether any byte of the message has arrived.
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
    /// Whether only the end of the connection ends the body.
    bool endsWithConnection() const;
    const HttpHead &head() const
    {
        return m_head;
    }
    /// Returns the body bytes that have arrived since the last call, without their framing.
    std::string takeBody();

private:
    static const http_parser_settings &callbacks();
    static HttpParser &self(http_parser *parser)
    {
        return *static_cast<HttpParser *>(parser->data);
    }

    int headComplete();
    void addHeaderName(std::string_view bytes);
    void addHeaderValue(std::string_view bytes);

    Kind m_kind;
    std::size_t m_mostHeadBytes;
    http_parser m_parser {};
    HttpHead m_head;
    std::string m_body;
    std::size_t m_headBytes { 0 };
    bool m_isAnswerToHead { false };
    bool m_isNameOpen { false };
    bool m_hasBegun { false };
    bool m_isHeadComplete { false };
    bool m_isComplete { false };
};

} // namespace Sapphire
