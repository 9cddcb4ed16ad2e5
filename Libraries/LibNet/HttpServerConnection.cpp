#include <LibNet/HttpServerConnection.h>

#include <LibNet/ChunkedEncoding.h>
#include <LibNet/HttpServerEvents.h>

#include <Poco/Net/HTTPResponse.h>

namespace Sapphire {

namespace {

// While a request is in progress, reading pauses once this many bytes of later requests are buffered.
constexpr std::size_t mostWaitingInput = 65'536;
// How long the connection stays open after the kernel has taken over the last answer, for the caller to read it.
// Closing at once could reset the connection while the answer is still in transit.
constexpr Milliseconds lingerTime { 1'000 };
// For answers whose request has no deadline of its own.
constexpr Milliseconds answerReadTime { 10'000 };
// Detects callers that vanish without closing the connection, after about three seconds. A caller that closes its side
// has left: nothing tells a close from a half-close before something is sent.
constexpr LivenessSettings callerLiveness { Milliseconds(0), std::chrono::seconds(2), true };

constexpr int statusBadRequest = 400;

std::string reasonOf(const HttpAnswerHead &head)
{
    if (!head.reason.empty()) {
        return head.reason;
    }
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
}

} // namespace

HttpServerConnection::HttpServerConnection(EventLoop &loop, HttpHandlerFactory &factory, const HttpServerPolicy &policy)
    : m_loop(loop)
    , m_factory(factory)
    , m_policy(policy)
    , m_parser(HttpParser::Kind::Request, policy.limits().headBytes)
    , m_timer(loop, [this] {
        timeout();
    })
{
}

RefPointer<HttpServerConnection> HttpServerConnection::create(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                                              HttpHandlerFactory &factory,
                                                              const HttpServerPolicy &policy)
{
    RefPointer<HttpServerConnection> connection(new HttpServerConnection(loop, factory, policy));
    connection->m_stream = StreamConnection::adopt(loop, socket, callerLiveness, *connection);
    connection->startTimer();
    return connection;
}

HttpServerConnection::~HttpServerConnection()
{
    // The stream may outlive this object for a moment and must not call it then.
    if (m_stream) {
        m_stream->close();
    }
}

void HttpServerConnection::connectionEstablished()
{
}

void HttpServerConnection::bytesReceived(std::string_view bytes)
{
    const RefPointer<HttpServerConnection> self(this);
    if (m_isLingering) {
        return;
    }
    m_input.append(bytes);
    advance();
}

void HttpServerConnection::peerClosed(bool)
{
    const RefPointer<HttpServerConnection> self(this);
    close();
}

void HttpServerConnection::outputDrained()
{
    const RefPointer<HttpServerConnection> self(this);
    if (m_handler) {
        m_handler->outputDrained();
    } else {
        startTimer();
    }
}

void HttpServerConnection::advance()
{
    // The handler may finish its answer, and so call this function, from within the loop below.
    if (m_isAdvancing) {
        return;
    }
    m_isAdvancing = true;
    while (isOpen() && !m_isLingering && feedParser()) {
    }
    m_isAdvancing = false;
    if (isOpen() && m_parser.isComplete() && m_handler) {
        setReading(m_input.size() < mostWaitingInput);
    }
}

bool HttpServerConnection::feedParser()
{
    if (m_input.empty() || m_parser.isComplete()) {
        return false;
    }
    const bool isHeadBeginning = !m_parser.hasBegun();
    if (isHeadBeginning) {
        m_parser.setMostHeadBytes(m_policy.limits().headBytes);
    }
    const Outcome<std::size_t> taken = capture([this] {
        return m_parser.feed(m_input);
    });
    if (isHeadBeginning) {
        startTimer();
    }
    if (!taken) {
        requestFailed(taken.error());
        return false;
    }
    m_input.erase(0, taken.value());
    if (m_parser.isHeadComplete() && !m_handler) {
        beginRequest();
    }
    if (isOpen() && m_handler) {
        passBody();
    }
    return taken.value() > 0;
}

void HttpServerConnection::beginRequest()
{
    m_timer.stop();
    m_isAnswerStarted = false;
    m_isAnswerFinished = false;
    m_isHeadRequest = m_parser.head().method == "HEAD";
    m_handler = m_factory.createHandler();
    const RefPointer<HttpRequestHandler> handler = m_handler;
    handler->begin(*this, m_parser.head());
    const std::optional<std::string_view> expectation = m_parser.head().header("Expect");
    if (isOpen() && !m_isAnswerStarted && expectation && !m_parser.isComplete()) {
        m_stream->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void HttpServerConnection::passBody()
{
    const std::string body = m_parser.takeBody();
    const bool isComplete = m_parser.isComplete();
    if (body.empty() && !isComplete) {
        return;
    }
    const RefPointer<HttpRequestHandler> handler = m_handler;
    handler->bodyReceived(body, isComplete);
    if (isComplete && m_isAnswerFinished) {
        endRequest();
    }
}

void HttpServerConnection::requestFailed(const Error &error)
{
    logEvent(HttpServerEvents::requestMalformed,
             { { "detail", error.message },
               { "headComplete", m_parser.isHeadComplete() },
               { "answered", m_isAnswerStarted } });
    if (m_handler) {
        const RefPointer<HttpRequestHandler> handler = std::move(m_handler);
        handler->callerGone();
        if (m_isAnswerStarted) {
            close();
            return;
        }
    }
    const bool isTooLarge = error.code == ErrorCode::ResourceExhausted;
    if (isTooLarge && !m_parser.isHeadComplete()) {
        answer(m_policy.headTooLargeAnswer(), error.message + "\n");
        return;
    }
    // After the head, the body may be on its way to a target, so that no answer may say that the request has not run.
    answer({ isTooLarge ? HttpServerPolicy::statusHeadTooLarge : statusBadRequest, {}, {}, {} }, error.message + "\n");
}

void HttpServerConnection::startAnswer(const HttpAnswerHead &head)
{
    m_isAnswerStarted = true;
    const bool isHttp11 = m_parser.head().isHttp11;
    const bool isBodilessStatus = hasNoBodyByStatus(head.status);
    m_hasNoAnswerBody = m_isHeadRequest || isBodilessStatus;
    m_isChunked = !head.bodyBytes && !m_hasNoAnswerBody && isHttp11;
    std::string text = isHttp11 ? "HTTP/1.1 " : "HTTP/1.0 ";
    text += std::to_string(head.status) + " " + reasonOf(head) + "\r\n";
    for (const HeaderField &field : head.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (head.bodyBytes && !isBodilessStatus) {
        text += "Content-Length: " + std::to_string(*head.bodyBytes) + "\r\n";
    } else if (m_isChunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    m_isKept = mayKeep();
    if (!m_isKept) {
        text += "Connection: close\r\n";
    } else if (!isHttp11) {
        text += "Connection: keep-alive\r\n";
    }
    m_stream->send(text + "\r\n");
}

void HttpServerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty() || m_hasNoAnswerBody) {
        return;
    }
    if (m_isChunked) {
        m_stream->send(chunkHead(bytes.size()) + std::string(bytes) + "\r\n");
    } else {
        m_stream->send(bytes);
    }
}

void HttpServerConnection::finishAnswer(Deadline readBy)
{
    const RefPointer<HttpServerConnection> self(this);
    m_answerReadBy = readBy;
    if (m_isChunked) {
        m_stream->send(lastChunk);
    }
    m_isAnswerFinished = true;
    if (m_parser.isComplete() && !m_isAdvancing) {
        endRequest();
        advance();
    } else if (!m_parser.isComplete()) {
        closeAfterOutput();
    }
}

void HttpServerConnection::abortAnswer()
{
    const RefPointer<HttpServerConnection> self(this);
    m_handler.reset();
    m_timer.stop();
    m_stream->reset();
}

void HttpServerConnection::answer(const HttpAnswerHead &head, std::string_view body)
{
    HttpAnswerHead whole = head;
    whole.bodyBytes = body.size();
    startAnswer(whole);
    writeBody(body);
    finishAnswer(Deadline::after(m_loop.now(), answerReadTime));
}

bool HttpServerConnection::mayKeep() const
{
    // An HTTP/1.0 answer without a length ends with the connection, so connections of HTTP/1.0 callers are not kept.
    return m_parser.head().isHttp11 && m_parser.head().keepsConnection && m_parser.isComplete()
        && !m_policy.isClosing();
}

void HttpServerConnection::endRequest()
{
    m_handler.reset();
    if (!m_isKept) {
        closeAfterOutput();
        return;
    }
    m_parser.begin();
    m_isAnswerStarted = false;
    m_isAnswerFinished = false;
    setReading(true);
    startTimer();
}

void HttpServerConnection::startTimer()
{
    if (pendingOutput() > 0) {
        m_timer.start(m_answerReadBy);
        return;
    }
    Milliseconds limit = m_policy.limits().idleTimeout;
    if (m_isLingering) {
        limit = lingerTime;
    } else if (m_parser.hasBegun()) {
        limit = m_policy.limits().headTimeout;
    }
    m_timer.start(Deadline::after(m_loop.now(), limit));
}

void HttpServerConnection::setReading(bool isReading)
{
    m_stream->setReading(isReading);
}

void HttpServerConnection::closeAfterOutput()
{
    m_handler.reset();
    if (m_isLingering || !isOpen()) {
        return;
    }
    m_isLingering = true;
    m_input.clear();
    setReading(true);
    m_stream->finishOutput();
    startTimer();
}

void HttpServerConnection::close()
{
    m_timer.stop();
    m_stream->close();
    if (m_handler) {
        const RefPointer<HttpRequestHandler> handler = std::move(m_handler);
        handler->callerGone();
    }
}

void HttpServerConnection::timeout()
{
    const RefPointer<HttpServerConnection> self(this);
    if (pendingOutput() > 0) {
        logEvent(HttpServerEvents::answerNotRead, { { "pendingBytes", pendingOutput() } });
        abortAnswer();
        return;
    }
    close();
}

} // namespace Sapphire
