#include <LibPlatform/PlatformConnection.h>

#include <LibCore/BootClock.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <ostream>

namespace Sapphire {

namespace {

// Most bytes that are requested from the kernel with one read; larger bodies take several.
constexpr std::size_t readChunkSize = std::size_t { 64 } * 1024;

Poco::Net::StreamSocket streamSocket(DeadlineSocket *socket)
{
    return Poco::Net::StreamSocket(socket);
}

} // namespace

PlatformConnection::PlatformConnection(DeadlineSocket *socket, const Poco::Net::SocketAddress &address)
    : Poco::Net::HTTPClientSession(streamSocket(socket))
    , m_deadlineSocket(socket)
    , m_address(address.toString())
    , m_lastUse(BootClock().now())
{
    setKeepAlive(true);
}

Result<std::unique_ptr<PlatformConnection>> PlatformConnection::create(const Poco::Net::SocketAddress &address,
                                                                       Deadline deadline)
{
    auto *socket = new DeadlineSocket;
    // Owns the only reference, so that every return path frees the socket.
    Poco::Net::StreamSocket owner(socket);
    const Microseconds remaining = deadline.remaining(BootClock().now());
    if (remaining == Microseconds::zero()) {
        return fail(ErrorCode::Timeout, "the deadline passed before connecting to " + address.toString());
    }
    try {
        socket->connect(address, Poco::Timespan(remaining.count()));
        socket->setNoDelay(true);
    } catch (const Poco::TimeoutException &) {
        return fail(ErrorCode::Timeout, "connecting to " + address.toString() + " did not end before the deadline");
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, "cannot connect to " + address.toString() + ": " + exception.displayText());
    }
    socket->duplicate();
    return std::unique_ptr<PlatformConnection>(new PlatformConnection(socket, address));
}

Result<PlatformAnswer> PlatformConnection::exchange(const PlatformRequest &request, std::size_t maxAnswerBytes,
                                                    Deadline deadline)
{
    m_isComplete = false;
    m_deadlineSocket->start(deadline);
    ErrorCode code = ErrorCode::Unavailable;
    std::string reason;
    try {
        send(request);
        PlatformAnswer answer = receive(maxAnswerBytes);
        m_lastUse = BootClock().now();
        return answer;
    } catch (const Poco::TimeoutException &) {
        code = ErrorCode::Timeout;
        reason = "no complete answer before the deadline";
    } catch (const Poco::Exception &exception) {
        reason = exception.displayText();
    }
    const bool mayHaveRun = request.isWrite() && m_deadlineSocket->bytesSent() > 0;
    return fail(code, request.method + " " + request.path + " at " + m_address + ": " + reason,
                mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun);
}

void PlatformConnection::send(const PlatformRequest &request)
{
    Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost(m_address);
    if (!request.conditionName.empty()) {
        message.set(request.conditionName, request.conditionValue);
    }
    if (!request.contentType.empty()) {
        message.setContentType(request.contentType);
    }
    if (request.isWrite()) {
        message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    std::ostream &stream = sendRequest(message);
    stream.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
}

PlatformAnswer PlatformConnection::receive(std::size_t maxAnswerBytes)
{
    Poco::Net::HTTPResponse message;
    receiveResponse(message);
    PlatformAnswer answer;
    answer.status = message.getStatus();
    answer.entityTag = message.get("ETag", "");
    const bool hasNoBody = answer.status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
    if (!hasNoBody && !message.hasContentLength()) {
        // Without a length, a truncated answer can't be distinguished from a complete one.
        throw Poco::Net::MessageException("the answer has no Content-Length");
    }
    const auto length = hasNoBody ? 0 : static_cast<std::size_t>(message.getContentLength64());
    if (length > maxAnswerBytes) {
        throw Poco::Net::MessageException("the answer is larger than the limit");
    }
    while (answer.body.size() < length) {
        const std::size_t begin = answer.body.size();
        const std::size_t wanted = std::min(readChunkSize, length - begin);
        answer.body.resize(begin + wanted);
        // Bypasses the session's stream, which would read in small chunks.
        const int count = read(answer.body.data() + begin, static_cast<std::streamsize>(wanted));
        if (count <= 0) {
            throw Poco::Net::MessageException("the answer is truncated");
        }
        answer.body.resize(begin + static_cast<std::size_t>(count));
    }
    m_isComplete = message.getKeepAlive();
    return answer;
}

bool PlatformConnection::isReusable()
{
    return m_isComplete && connected() && !m_deadlineSocket->hasInput();
}

bool PlatformConnection::hasReceivedAnything() const
{
    return m_deadlineSocket->bytesReceived() > 0;
}

TimePoint PlatformConnection::lastUse() const
{
    return m_lastUse;
}

void PlatformConnection::connect(const Poco::Net::SocketAddress &)
{
    throw Poco::Net::ConnectionAbortedException("the connection is closed");
}

bool PlatformConnection::mustReconnect() const
{
    return false;
}

int PlatformConnection::write(const char *buffer, std::streamsize length)
{
    // HTTPClientSession::write() would reconnect and send again, so that a write could run twice.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    return HTTPSession::write(buffer, length);
}

} // namespace Sapphire
