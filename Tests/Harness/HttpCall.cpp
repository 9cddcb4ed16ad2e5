#include <Harness/HttpCall.h>

#include <Harness/HttpAnswerReader.h>
#include <Harness/WaitFor.h>
#include <LibCore/BootClock.h>
#include <LibPlatform/DeadlineSocket.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace Sapphire {

namespace {

constexpr std::size_t pieceSize = std::size_t { 64 } * 1024;

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

bool hasHeader(const HttpHeaders &headers, const std::string &name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const auto &header) {
        return Poco::icompare(header.first, name) == 0;
    });
}

std::string requestText(const HttpCall &call, const Target &target)
{
    std::string text = call.method + " " + target.path + " HTTP/1.1\r\nConnection: close\r\n";
    if (!hasHeader(call.headers, "Host")) {
        text += "Host: " + target.host + "\r\n";
    }
    const bool isBodyExpected = call.method != "GET" && call.method != "HEAD";
    if ((isBodyExpected || !call.body.empty()) && !hasHeader(call.headers, "Content-Length")) {
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    for (const auto &[name, value] : call.headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    return text + "\r\n" + call.body;
}

Result<HttpAnswer> receiveAnswer(const HttpCall &call, DeadlineSocket &socket)
{
    HttpAnswerReader reader(call.method == "HEAD");
    std::vector<char> piece(pieceSize);
    while (!reader.isComplete()) {
        const int count = socket.receiveBytes(piece.data(), static_cast<int>(piece.size()), 0);
        const std::string_view bytes(piece.data(), static_cast<std::size_t>(count));
        BOOST_LEAF_CHECK(count > 0 ? reader.add(bytes) : reader.end());
    }
    return reader.takeAnswer();
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
    auto *socket = new DeadlineSocket;
    const Poco::Net::StreamSocket owner(socket);
    ErrorCode code = ErrorCode::Unavailable;
    std::string reason;
    try {
        socket->connect(target.address, Poco::Timespan(deadline.remaining(BootClock().now()).count()));
        socket->setNoDelay(true);
        socket->start(deadline);
        const std::string text = requestText(*this, target);
        socket->sendBytes(text.data(), static_cast<int>(text.size()), 0);
        return receiveAnswer(*this, *socket);
    } catch (const Poco::TimeoutException &) {
        code = ErrorCode::Timeout;
        reason = "no complete answer in time";
    } catch (const Poco::Exception &exception) {
        reason = exception.displayText();
        if (socket->bytesReceived() > 0) {
            code = ErrorCode::DataLoss;
        }
    }
    return fail(code, method + " " + url + ": " + reason,
                socket->bytesSent() > 0 ? Verdict::MayHaveRun : Verdict::NotRun);
}

} // namespace Sapphire
