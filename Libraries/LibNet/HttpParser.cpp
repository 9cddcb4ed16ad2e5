#include <LibNet/HttpParser.h>

#include <Poco/Ascii.h>
#include <Poco/String.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

// Return values of the on_headers_complete callback of http_parser.
constexpr int hasBodyAsFramed = 0;
constexpr int hasNoBody = 1;
constexpr int refuseMessage = -1;

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// Whether the name is a token and the value has no control characters. http_parser accepts blanks and control
/// characters, but another program could then read a field as one that frames the message.
bool isSafeField(const HeaderField &field)
{
    static constexpr std::string_view separators = "()<>@,;:\\\"/[]?={} \t";
    const bool isToken = !field.name.empty() && std::all_of(field.name.begin(), field.name.end(), [](char character) {
        return Poco::Ascii::isPrintable(character) && separators.find(character) == std::string_view::npos;
    });
    const bool isText = std::none_of(field.value.begin(), field.value.end(), [](char character) {
        return Poco::Ascii::hasProperties(static_cast<unsigned char>(character), Poco::Ascii::ACP_CONTROL)
            && character != '\t';
    });
    return isToken && isText;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return Poco::Ascii::toLower(a) == Poco::Ascii::toLower(b);
           });
}

} // namespace

bool hasNoBodyByStatus(int status)
{
    return status < firstFinalStatus || status == statusNoContent || status == statusNotModified;
}

std::optional<std::string_view> HttpHead::header(std::string_view name) const
{
    for (const HeaderField &field : headers) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::size_t HttpHead::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [name](const HeaderField &field) {
        return equalsIgnoringCase(field.name, name);
    }));
}

HttpParser::HttpParser(Kind kind, std::size_t mostHeadBytes) : m_kind(kind), m_mostHeadBytes(mostHeadBytes)
{
    begin();
}

void HttpParser::begin(bool isAnswerToHead)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = HttpHead {};
    m_body.clear();
    m_headBytes = 0;
    m_isAnswerToHead = isAnswerToHead;
    m_isNameOpen = false;
    m_hasBegun = false;
    m_isHeadComplete = false;
    m_isComplete = false;
}

const http_parser_settings &HttpParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = [](http_parser *parser, const char *bytes, std::size_t length) {
            self(parser).m_head.target.append(bytes, length);
            return 0;
        };
        result.on_header_field = [](http_parser *parser, const char *bytes, std::size_t length) {
            self(parser).addHeaderName({ bytes, length });
            return 0;
        };
        result.on_header_value = [](http_parser *parser, const char *bytes, std::size_t length) {
            self(parser).addHeaderValue({ bytes, length });
            return 0;
        };
        result.on_headers_complete = [](http_parser *parser) {
            return self(parser).headComplete();
        };
        result.on_body = [](http_parser *parser, const char *bytes, std::size_t length) {
            self(parser).m_body.append(bytes, length);
            return 0;
        };
        result.on_message_complete = [](http_parser *parser) {
            self(parser).m_isComplete = true;
            // Stops here, so that the bytes of the next message are not consumed.
            http_parser_pause(parser, 1);
            return 0;
        };
        return result;
    }();
    return settings;
}

Result<std::size_t> HttpParser::feed(std::string_view bytes)
{
    if (m_isComplete || bytes.empty()) {
        return std::size_t { 0 };
    }
    m_hasBegun = true;
    const bool wasHeadComplete = m_isHeadComplete;
    const std::size_t taken = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = static_cast<http_errno>(m_parser.http_errno);
    if (!wasHeadComplete) {
        m_headBytes += m_isHeadComplete ? 0 : taken;
    }
    if (error == HPE_HEADER_OVERFLOW || m_headBytes > m_mostHeadBytes) {
        return fail(ErrorCode::ResourceExhausted, "the head is larger than the limit");
    }
    if (error != HPE_OK && error != HPE_PAUSED) {
        return fail(ErrorCode::InvalidArgument, http_errno_description(error));
    }
    return taken;
}

Result<void> HttpParser::finish()
{
    if (m_isComplete) {
        return {};
    }
    if (m_hasBegun) {
        http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    }
    if (!m_isComplete) {
        return fail(ErrorCode::DataLoss, "the connection ended before the message was complete");
    }
    return {};
}

bool HttpParser::endsWithConnection() const
{
    return m_isHeadComplete && m_kind == Kind::Answer && !m_isAnswerToHead && !hasNoBodyByStatus(m_head.status)
        && !m_head.isChunked && !m_head.bodyBytes;
}

std::string HttpParser::takeBody()
{
    return std::exchange(m_body, {});
}

void HttpParser::addHeaderName(std::string_view bytes)
{
    // Trailer fields are dropped.
    if (m_isHeadComplete) {
        return;
    }
    if (!m_isNameOpen) {
        m_head.headers.emplace_back();
        m_isNameOpen = true;
    }
    m_head.headers.back().name.append(bytes);
}

void HttpParser::addHeaderValue(std::string_view bytes)
{
    if (m_isHeadComplete || m_head.headers.empty()) {
        return;
    }
    m_isNameOpen = false;
    m_head.headers.back().value.append(bytes);
}

int HttpParser::headComplete()
{
    const bool isSafe = std::all_of(m_head.headers.begin(), m_head.headers.end(), isSafeField);
    if (!isSafe) {
        return refuseMessage;
    }
    m_isHeadComplete = true;
    m_head.isHttp11 = m_parser.http_major == 1 && m_parser.http_minor >= 1;
    m_head.isChunked = (m_parser.flags & F_CHUNKED) != 0;
    if ((m_parser.flags & F_CONTENTLENGTH) != 0 && !m_head.isChunked) {
        m_head.bodyBytes = m_parser.content_length;
    }
    m_head.keepsConnection = http_should_keep_alive(&m_parser) != 0;
    // Otherwise the parser would treat what follows as another protocol and not parse a body.
    m_parser.upgrade = 0;
    if (m_kind == Kind::Request) {
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
        return hasBodyAsFramed;
    }
    m_head.status = m_parser.status_code;
    return m_isAnswerToHead ? hasNoBody : hasBodyAsFramed;
}

} // namespace Sapphire
