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

constexpr int statusSwitchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

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

bool HttpHead::isInformational() const
{
    return status < firstFinalStatus;
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

HttpParser::HttpParser(Kind kind, std::size_t mostHeadBytes)
    : m_kind(kind), m_mostHeadBytes(mostHeadBytes), m_headCheck(kind == Kind::Answer)
{
    begin();
}

void HttpParser::begin(bool isAnswerToHead)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = HttpHead {};
    m_headCheck = HttpHeadCheck(m_kind == Kind::Answer);
    m_chunkCheck = {};
    m_fault.clear();
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
            return self(parser).addBody({ bytes, length });
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
    BOOST_LEAF_CHECK(checkHead(bytes));
    const std::size_t taken = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = static_cast<http_errno>(m_parser.http_errno);
    if (!wasHeadComplete) {
        m_headBytes += m_isHeadComplete ? 0 : taken;
    }
    if (error == HPE_HEADER_OVERFLOW || m_headBytes > m_mostHeadBytes) {
        return fail(ErrorCode::ResourceExhausted, "the head is larger than the limit");
    }
    checkChunksUntil(bytes.data() + taken);
    if (!m_fault.empty()) {
        return fail(ErrorCode::InvalidArgument, m_fault);
    }
    if (error != HPE_OK && error != HPE_PAUSED) {
        return fail(ErrorCode::InvalidArgument, http_errno_description(error));
    }
    return taken;
}

Result<void> HttpParser::checkHead(std::string_view bytes)
{
    m_uncheckedFrom = bytes.data();
    if (!m_isHeadComplete) {
        BOOST_LEAF_AUTO(headBytes, m_headCheck.check(bytes));
        m_uncheckedFrom += headBytes;
    }
    return {};
}

void HttpParser::checkChunksUntil(const char *position)
{
    if (!m_isHeadComplete || !m_head.isChunked || position <= m_uncheckedFrom) {
        return;
    }
    const Outcome<void> checked = capture([&] {
        return m_chunkCheck.check({ m_uncheckedFrom, static_cast<std::size_t>(position - m_uncheckedFrom) });
    });
    m_uncheckedFrom = position;
    if (!checked) {
        m_fault = checked.error().message;
    }
}

void HttpParser::skipInformational()
{
    if (m_isComplete && m_head.isInformational()) {
        begin(m_isAnswerToHead);
    }
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
        if (!bytes.empty() && !isHttpToken(bytes)) {
            m_fault = "malformed name of a trailer field";
        }
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

int HttpParser::addBody(std::string_view bytes)
{
    checkChunksUntil(bytes.data());
    m_chunkCheck.skipData();
    m_uncheckedFrom = bytes.data() + bytes.size();
    m_body.append(bytes);
    return 0;
}

std::string_view HttpParser::faultOfHead() const
{
    for (const HeaderField &field : m_head.headers) {
        if (!isHttpToken(field.name)) {
            return "malformed name of a header field";
        }
        if (!isHttpText(field.value)) {
            return "control character in the value of a header field";
        }
    }
    if (m_kind == Kind::Answer && m_parser.status_code == statusSwitchingProtocols) {
        return "change of the protocol that nobody asked for";
    }
    return faultOfBodyLength();
}

std::string_view HttpParser::faultOfBodyLength() const
{
    const bool hasParsedLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (m_head.count("Content-Length") != (hasParsedLength ? 1 : 0)) {
        return "malformed Content-Length";
    }
    const std::optional<std::string_view> coding = m_head.header("Transfer-Encoding");
    if (!coding) {
        return "";
    }
    const bool isHttp11 = m_parser.http_major == 1 && m_parser.http_minor >= 1;
    if (hasParsedLength || !isHttp11) {
        return "Transfer-Encoding beside Content-Length or in HTTP/1.0";
    }
    const bool isOnlyChunked = m_head.count("Transfer-Encoding") == 1 && equalsIgnoringCase(*coding, "chunked");
    return isOnlyChunked ? "" : "Transfer-Encoding other than chunked";
}

int HttpParser::headComplete()
{
    if (m_fault = faultOfHead(); !m_fault.empty()) {
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
