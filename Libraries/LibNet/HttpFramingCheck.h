#pragma once

#include <LibCore/Result.h>

#include <string>
#include <string_view>

namespace Sapphire {

/// Whether the text is a token of RFC 9110 (section 5.6.2), as names of header fields are.
bool isHttpToken(std::string_view text);
/// Whether the text has no control characters but tabs.
bool isHttpText(std::string_view text);

/// Checks the lines of a message's head as they arrive, for what http_parser takes although RFC 9112 does not: status
/// lines that are none, empty lines before them, and folded lines.
class HttpHeadCheck
{
public:
    explicit HttpHeadCheck(bool isAnswer) : m_isAnswer(isAnswer)
    {
    }

    /// Checks bytes up to the end of the head at most and returns how many these are. Fails with InvalidArgument.
    [[nodiscard]] Result<std::size_t> check(std::string_view bytes);

private:
    Result<void> addToLine(std::string_view bytes);
    Result<void> endLine();

    bool m_isAnswer;
    bool m_isStartLine { true };
    bool m_isAtEnd { false };
    std::size_t m_lineBytes { 0 };
    bool m_isLineEmpty { true }; ///< But for a CR.
    std::string m_startLine; ///< Of answers.
};

/// Checks the bytes between the data of chunks and after them: size lines, extensions and trailers.
class HttpChunkCheck
{
public:
    /// Fails with InvalidArgument for control characters, line ends other than CRLF and folded lines.
    [[nodiscard]] Result<void> check(std::string_view bytes);
    /// The data of a chunk follows the bytes that were checked.
    void skipData()
    {
        m_previous = 0;
    }

private:
    char m_previous { 0 };
};

} // namespace Sapphire
