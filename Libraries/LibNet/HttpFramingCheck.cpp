#include <LibNet/HttpFramingCheck.h>

#include <Poco/Ascii.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr std::size_t statusDigits = 3;

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
}

/// Whether the text is "HTTP/1.x SSS" with an optional reason, where SSS is 100 to 599. The blank before an empty
/// reason may be missing, as in the answers of many servers.
bool isStatusLine(std::string_view line)
{
    if (!line.starts_with("HTTP/1.0 ") && !line.starts_with("HTTP/1.1 ")) {
        return false;
    }
    line.remove_prefix(std::string_view("HTTP/1.x ").size());
    const std::string_view status = line.substr(0, statusDigits);
    const std::string_view rest = line.substr(status.size());
    const bool isNumber =
        status.size() == statusDigits && std::all_of(status.begin(), status.end(), [](char character) {
            return Poco::Ascii::isDigit(character);
        });
    return isNumber && status.front() >= '1' && status.front() <= '5' && (rest.empty() || rest.front() == ' ')
        && isHttpText(rest);
}

} // namespace

bool isHttpToken(std::string_view text)
{
    static constexpr std::string_view separators = "()<>@,;:\\\"/[]?={} \t";
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return Poco::Ascii::isPrintable(character) && separators.find(character) == std::string_view::npos;
    });
}

bool isHttpText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        return Poco::Ascii::hasProperties(static_cast<unsigned char>(character), Poco::Ascii::ACP_CONTROL)
            && character != '\t';
    });
}

Result<std::size_t> HttpHeadCheck::check(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && !m_isAtEnd) {
        const std::string_view left = bytes.substr(taken);
        const std::size_t lineEnd = left.find('\n');
        BOOST_LEAF_CHECK(addToLine(left.substr(0, lineEnd)));
        if (lineEnd == std::string_view::npos) {
            return bytes.size();
        }
        taken += lineEnd + 1;
        BOOST_LEAF_CHECK(endLine());
    }
    return taken;
}

Result<void> HttpHeadCheck::addToLine(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    if (m_lineBytes == 0 && isBlank(bytes.front())) {
        return fail(ErrorCode::InvalidArgument, m_isStartLine ? "blank before the start line" : "folded header line");
    }
    m_isLineEmpty = m_isLineEmpty && m_lineBytes == 0 && bytes == "\r";
    m_lineBytes += bytes.size();
    if (m_isStartLine && m_isAnswer) {
        m_startLine.append(bytes);
    }
    return {};
}

Result<void> HttpHeadCheck::endLine()
{
    const bool isEmpty = m_isLineEmpty;
    m_isLineEmpty = true;
    m_lineBytes = 0;
    if (isEmpty && !m_isStartLine) {
        m_isAtEnd = true;
        return {};
    }
    if (!m_isStartLine) {
        return {};
    }
    if (m_isAnswer) {
        std::string_view line = m_startLine;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!isStatusLine(line)) {
            return fail(ErrorCode::InvalidArgument, "malformed status line");
        }
    }
    // RFC 9112, section 2.2: a server ignores empty lines before a request.
    m_isStartLine = isEmpty;
    return {};
}

Result<void> HttpChunkCheck::check(std::string_view bytes)
{
    for (const char character : bytes) {
        const bool isLineEnd = m_previous == '\r' && character == '\n';
        const bool isBrokenLineEnd = (m_previous == '\r') != (character == '\n');
        const bool isFolded = m_previous == '\n' && isBlank(character);
        const bool isControl = character != '\r' && !isLineEnd && !isHttpText({ &character, 1 });
        if (isBrokenLineEnd || isFolded || isControl) {
            return fail(ErrorCode::InvalidArgument, "malformed line between or after chunks");
        }
        m_previous = character;
    }
    return {};
}

} // namespace Sapphire
