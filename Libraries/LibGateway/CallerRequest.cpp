#include <LibGateway/CallerRequest.h>

#include <LibExchange/ConnectionHeaders.h>

#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace Sapphire {

namespace {

// Longer deadlines of callers are shortened to this.
constexpr Milliseconds longestDeadline { 600'000 };

std::string trimmed(std::string_view text)
{
    return Poco::trim(std::string(text));
}

/// Returns the end-to-end headers without those whose lower-case names are excluded.
std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField> &headers,
                                         const std::vector<std::string> &excluded)
{
    const std::vector<std::string> options = connectionOptions(headers);
    std::vector<HeaderField> forwarded;
    for (const HeaderField &field : headers) {
        const std::string name = Poco::toLower(field.name);
        const auto isName = [&name](const auto &other) {
            return other == name;
        };
        const bool isDropped = isConnectionHeader(name) || std::any_of(options.begin(), options.end(), isName)
            || std::any_of(excluded.begin(), excluded.end(), isName);
        if (!isDropped) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

std::string cookieValue(const HttpHead &head, const std::string &name)
{
    for (const HeaderField &field : head.headers) {
        if (Poco::icompare(field.name, "Cookie") != 0) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t end = rest.find(';');
            const std::string pair = trimmed(rest.substr(0, end));
            if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
                return pair.substr(name.size() + 1);
            }
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
    }
    return {};
}

std::string keyOf(const HttpHead &head, const std::string &scheme)
{
    const std::optional<std::string_view> value = head.header("Authorization");
    if (!value || value->size() <= scheme.size() + 1 || (*value)[scheme.size()] != ' ') {
        return {};
    }
    if (Poco::icompare(std::string(value->substr(0, scheme.size())), scheme) != 0) {
        return {};
    }
    return trimmed(value->substr(scheme.size() + 1));
}

Result<Deadline> deadlineOf(const HttpHead &head, const std::string &name, TimePoint now)
{
    const std::optional<std::string_view> value = head.header(name);
    if (!value) {
        return Deadline::never();
    }
    std::int64_t milliseconds = 0;
    const auto result = std::from_chars(value->data(), value->data() + value->size(), milliseconds);
    if (result.ec != std::errc() || milliseconds < 0) {
        return fail(ErrorCode::InvalidArgument,
                    name + ": found \"" + std::string(*value) + "\", expected a number of milliseconds");
    }
    return Deadline::after(now, std::min(Milliseconds(milliseconds), longestDeadline));
}

} // namespace

Result<CallerRequest> readCallerRequest(const HttpHead &head, const WireNames &names, TimePoint now)
{
    if (head.count("Host") != 1) {
        return fail(ErrorCode::InvalidArgument, "expected exactly one Host header");
    }
    if (head.target.empty() || head.target.front() != '/') {
        return fail(ErrorCode::InvalidArgument, "expected a path that begins with '/'");
    }
    CallerRequest request;
    request.id = RequestId(std::string(head.header(names.requestId).value_or("")));
    request.method = head.method;
    request.target = head.target;
    request.host = std::string(*head.header("Host"));
    BOOST_LEAF_ASSIGN(request.deadline, deadlineOf(head, names.deadline, now));
    request.object = cookieValue(head, names.objectCookie);
    request.key = keyOf(head, names.credentialsScheme);
    if (!head.isChunked) {
        request.bodyBytes = head.bodyBytes.value_or(0);
    }
    static const std::vector<std::string> fixedNames { "authorization", "expect" };
    std::vector<std::string> excluded = fixedNames;
    excluded.push_back(Poco::toLower(names.deadline));
    excluded.push_back(Poco::toLower(names.customer));
    excluded.push_back(Poco::toLower(names.expectedTarget));
    request.headers = endToEndHeaders(head.headers, excluded);
    return request;
}

std::string writeTargetRequest(const TargetRequestHead &head, const WireNames &names, TimePoint now)
{
    const CallerRequest &request = head.request;
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    const auto add = [&text](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    for (const HeaderField &field : request.headers) {
        add(field.name, field.value);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(head.deadline.remaining(now));
    add(names.deadline, std::to_string(left.count()));
    add(names.expectedTarget, head.target.text());
    if (!head.customer.isEmpty()) {
        add(names.customer, head.customer.text());
    }
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD";
    if (!head.bodyBytes) {
        add("Transfer-Encoding", "chunked");
    } else if (*head.bodyBytes > 0 || mayHaveBody) {
        add("Content-Length", std::to_string(*head.bodyBytes));
    }
    return text + "\r\n";
}

std::vector<HeaderField> headersForCaller(const HttpHead &head)
{
    return endToEndHeaders(head.headers, {});
}

} // namespace Sapphire
