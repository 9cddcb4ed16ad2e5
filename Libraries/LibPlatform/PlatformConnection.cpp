#include <LibPlatform/PlatformConnection.h>

#include <LibCore/BootClock.h>
#include <LibNet/HttpParser.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <sstream>

namespace Sapphire {

namespace {

// Most bytes that are requested from the kernel with one read; larger bodies take several.
constexpr std::size_t readChunkSize = std::size_t { 64 } * 1024;
constexpr std::size_t mostHeadBytes = 65'536;

/// Throws if the body is longer than the limit or announced to be, or if its end can't be recognized.
void checkBody(const HttpParser &parser, std::size_t receivedBytes, std::size_t maxAnswerBytes)
{
    if (parser.endsWithConnection()) {
        // Without a length, a truncated answer can't be distinguished from a complete one.
        throw Poco::Net::MessageException("the answer has no Content-Length");
    }
    if (std::max<std::uint64_t>(receivedBytes, parser.head().bodyBytes.value_or(0)) > maxAnswerBytes) {
        throw Poco::Net::MessageException("the answer is larger than the limit");
    }
}

} // namespace

PlatformConnection::PlatformConnection(DeadlineSocket *socket, const Poco::Net::SocketAddress &address)
    : m_socket(socket), m_deadlineSocket(socket), m_address(address.toString()), m_lastUse(BootClock().now())
{
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
        PlatformAnswer answer = receive(request, maxAnswerBytes);
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
    message.setKeepAlive(true);
    if (!request.conditionName.empty()) {
        message.set(request.conditionName, request.conditionValue);
    }
    if (!request.contentType.empty()) {
        message.setContentType(request.contentType);
    }
    if (request.isWrite()) {
        message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    std::ostringstream stream;
    message.write(stream);
    const std::string bytes = std::move(stream).str() + request.body;
    m_deadlineSocket->sendBytes(bytes.data(), static_cast<int>(bytes.size()), 0);
}

PlatformAnswer PlatformConnection::receive(const PlatformRequest &request, std::size_t maxAnswerBytes)
{
    HttpParser parser(HttpParser::Kind::Answer, mostHeadBytes);
    PlatformAnswer answer;
    std::string piece(readChunkSize, '\0');
    std::string_view bytes;
    while (!parser.isComplete()) {
        if (bytes.empty()) {
            const int count = m_deadlineSocket->receiveBytes(piece.data(), static_cast<int>(piece.size()), 0);
            if (count <= 0) {
                throw Poco::Net::MessageException("the answer is truncated");
            }
            bytes = std::string_view(piece).substr(0, static_cast<std::size_t>(count));
        }
        const Outcome<std::size_t> taken = capture([&] {
            return parser.feed(bytes);
        });
        if (!taken) {
            throw Poco::Net::MessageException("malformed answer: " + taken.error().message);
        }
        bytes.remove_prefix(taken.value());
        answer.body += parser.takeBody();
        checkBody(parser, answer.body.size(), maxAnswerBytes);
        parser.skipInformational();
    }
    answer.status = parser.head().status;
    answer.entityTag = parser.head().header("ETag").value_or("");
    if (!request.epochHeader.empty()) {
        answer.epoch = parser.head().header(request.epochHeader);
    }
    m_isComplete = parser.head().keepsConnection && bytes.empty();
    return answer;
}

bool PlatformConnection::isReusable()
{
    return m_isComplete && !m_deadlineSocket->hasInput();
}

bool PlatformConnection::hasReceivedAnything() const
{
    return m_deadlineSocket->bytesReceived() > 0;
}

TimePoint PlatformConnection::lastUse() const
{
    return m_lastUse;
}

} // namespace Sapphire
