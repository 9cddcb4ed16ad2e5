#include <Harness/HttpCall.h>

#include <Harness/HttpConnection.h>
#include <Harness/WaitFor.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <algorithm>
#include <string_view>

namespace Sapphire {

namespace {

struct Target
{
    Poco::Net::SocketAddress address;
    std::string host;
    std::string path;
};

Result<Target> parseUrl(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme)) {
        return fail(ErrorCode::InvalidArgument, "URL: found \"" + url + "\", expected http://ip:port/path");
    }
    const std::size_t pathBegin = std::min(url.find('/', scheme.size()), url.size());
    Target target;
    target.host = url.substr(scheme.size(), pathBegin - scheme.size());
    target.path = pathBegin < url.size() ? url.substr(pathBegin) : "/";
    try {
        target.address = Poco::Net::SocketAddress(target.host);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::InvalidArgument, "URL " + url + ": " + exception.displayText());
    }
    return target;
}

std::string requestText(const HttpCall &call, const Target &target)
{
    HttpHeaders headers { { "Connection", "close" } };
    if (!hasHeader(call.headers, "Host")) {
        headers.emplace_back("Host", target.host);
    }
    headers.insert(headers.end(), call.headers.begin(), call.headers.end());
    return writeRequest(call.method, target.path, headers, call.body);
}

} // namespace

std::optional<std::string> HttpAnswer::header(const std::string &name) const
{
    for (const auto &[present, value] : headers) {
        if (Poco::icompare(present, name) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

Result<HttpAnswer> HttpCall::run() const
{
    BOOST_LEAF_AUTO(target, parseUrl(url));
    const Deadline deadline = after(timeout);
    BOOST_LEAF_AUTO(connection, HttpConnection::create(target.address, deadline));
    return connection->exchange(requestText(*this, target), method == "HEAD", deadline);
}

} // namespace Sapphire
