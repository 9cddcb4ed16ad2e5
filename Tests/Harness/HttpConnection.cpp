#include <Harness/HttpConnection.h>

#include <Harness/HttpAnswerReader.h>
#include <LibCore/BootClock.h>

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace Sapphire {

namespace {

constexpr std::size_t readBufferSize = std::size_t { 64 } * 1024;

Result<HttpAnswer> receiveAnswer(bool hasNoBody, DeadlineSocket &socket)
{
    HttpAnswerReader reader(hasNoBody);
    std::vector<char> readBuffer(readBufferSize);
    while (!reader.isComplete()) {
        const int count = socket.receiveBytes(readBuffer.data(), static_cast<int>(readBuffer.size()), 0);
        const std::string_view bytes(readBuffer.data(), static_cast<std::size_t>(count));
        BOOST_LEAF_CHECK(count > 0 ? reader.add(bytes) : reader.end());
    }
    return reader.takeAnswer();
}

} // namespace

bool hasHeader(const HttpHeaders &headers, const std::string &name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const auto &header) {
        return Poco::icompare(header.first, name) == 0;
    });
}

std::string writeRequest(const std::string &method, const std::string &path, const HttpHeaders &headers,
                         const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    const bool isBodyExpected = method != "GET" && method != "HEAD";
    if ((isBodyExpected || !body.empty()) && !hasHeader(headers, "Content-Length")) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    for (const auto &[name, value] : headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    return text + "\r\n" + body;
}

HttpConnection::HttpConnection() : m_socket(new DeadlineSocket), m_owner(m_socket)
{
}

Result<std::unique_ptr<HttpConnection>> HttpConnection::create(const Poco::Net::SocketAddress &address,
                                                               Deadline deadline)
{
    std::unique_ptr<HttpConnection> connection(new HttpConnection);
    try {
        connection->m_socket->connect(address, Poco::Timespan(deadline.remaining(BootClock().now()).count()));
        connection->m_socket->setNoDelay(true);
        return connection;
    } catch (const Poco::TimeoutException &) {
        return fail(ErrorCode::Timeout, address.toString() + ": no connection in time", Verdict::NotRun);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, address.toString() + ": " + exception.displayText(), Verdict::NotRun);
    }
}

Result<HttpAnswer> HttpConnection::exchange(const std::string &request, bool hasNoAnswerBody, Deadline deadline)
{
    ErrorCode code = ErrorCode::Unavailable;
    std::string reason;
    m_socket->start(deadline);
    try {
        m_socket->sendBytes(request.data(), static_cast<int>(request.size()), 0);
        return receiveAnswer(hasNoAnswerBody, *m_socket);
    } catch (const Poco::TimeoutException &) {
        code = ErrorCode::Timeout;
        reason = "no complete answer in time";
    } catch (const Poco::Exception &exception) {
        reason = exception.displayText();
        if (m_socket->bytesReceived() > 0) {
            code = ErrorCode::DataLoss;
        }
    }
    return fail(code, request.substr(0, request.find('\r')) + ": " + reason,
                m_socket->bytesSent() > 0 ? Verdict::MayHaveRun : Verdict::NotRun);
}

} // namespace Sapphire
