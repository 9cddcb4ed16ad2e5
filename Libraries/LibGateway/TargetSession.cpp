#include <LibGateway/TargetSession.h>

#include <charconv>

namespace Sapphire {

namespace {

// A target whose machine has failed acknowledges nothing any more.
constexpr LivenessSettings targetLiveness { Milliseconds(1'000), std::chrono::seconds(1) };
// Heads of answers are small; a target that sends a larger one is faulty.
constexpr std::size_t mostAnswerHeadBytes = 65'536;
// How much of informational answers and of answers to earlier requests is read before the answer to the current one.
constexpr std::size_t mostDroppedBytes = 262'144;
// More than three round trips between regions (110 ms).
constexpr Milliseconds connectTime { 400 };
constexpr std::string_view keepAliveTimeout = "timeout=";

/// Returns for how long the target keeps an idle connection, or nothing if it does not announce that.
std::optional<std::chrono::seconds> statedIdleTime(const HttpHead &head)
{
    const std::optional<std::string_view> value = head.header("Keep-Alive");
    const std::size_t begin = value ? value->find(keepAliveTimeout) : std::string_view::npos;
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value->substr(begin + keepAliveTimeout.size());
    int seconds = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (result.ec != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

TargetSession::TargetSession(EventLoop &loop, const WireNames &names, std::function<void(Microseconds)> onConnected,
                             std::function<void()> onLostWhileIdle)
    : m_loop(loop)
    , m_names(names)
    , m_onConnected(std::move(onConnected))
    , m_onLostWhileIdle(std::move(onLostWhileIdle))
    , m_createdAt(loop.now())
    , m_parser(HttpParser::Kind::Answer, mostAnswerHeadBytes)
    , m_connectTimer(loop, [this] {
        connectTimeout();
    })
{
}

Result<RefPointer<TargetSession>> TargetSession::create(EventLoop &loop, const Poco::Net::SocketAddress &address,
                                                        const WireNames &names,
                                                        std::function<void(Microseconds)> onConnected,
                                                        std::function<void()> onLostWhileIdle)
{
    RefPointer<TargetSession> session(
        new TargetSession(loop, names, std::move(onConnected), std::move(onLostWhileIdle)));
    BOOST_LEAF_ASSIGN(session->m_stream, StreamConnection::connect(loop, address, targetLiveness, *session));
    session->m_connectTimer.start(Deadline::after(loop.now(), connectTime));
    return session;
}

TargetSession::~TargetSession()
{
    // The stream may live on for a moment, and must not call this object then.
    if (m_stream) {
        m_stream->close();
    }
}

void TargetSession::begin(TargetSessionListener &listener, std::string_view bytes, std::string requestId, bool isHead)
{
    m_listener = &listener;
    m_requestId = std::move(requestId);
    m_isHead = isHead;
    m_isRequestComplete = false;
    m_isReusable = false;
    m_isHeadDelivered = false;
    m_isDropping = false;
    m_droppedBytes = 0;
    ++m_exchanges;
    m_parser.begin(isHead);
    m_stream->send(bytes);
}

void TargetSession::sendMore(std::string_view bytes)
{
    m_stream->send(bytes);
}

void TargetSession::abandon()
{
    const bool isInProgress = m_listener != nullptr;
    m_listener = nullptr;
    m_isReusable = false;
    m_connectTimer.stop();
    if (isInProgress) {
        // After a plain close the kernel would still deliver bytes that a bad link has delayed.
        m_stream->reset();
    } else {
        m_stream->close();
    }
}

void TargetSession::connectionEstablished()
{
    m_isConnected = true;
    m_connectTimer.stop();
    m_onConnected(m_loop.now() - m_createdAt);
}

void TargetSession::connectTimeout()
{
    const RefPointer<TargetSession> self(this);
    if (m_listener != nullptr) {
        failExchange(SessionFailure::NotConnected, "connection not established in time");
    } else {
        abandon();
    }
}

void TargetSession::bytesReceived(std::string_view bytes)
{
    const RefPointer<TargetSession> self(this);
    if (m_listener == nullptr) {
        // No request uses the connection, so that the bytes are no answer.
        abandon();
        return;
    }
    feed(bytes);
}

void TargetSession::feed(std::string_view bytes)
{
    while (m_listener != nullptr && !bytes.empty()) {
        const Outcome<std::size_t> taken = capture([&] {
            return m_parser.feed(bytes);
        });
        if (!taken) {
            failExchange(SessionFailure::Malformed, taken.error().message);
            return;
        }
        bytes.remove_prefix(taken.value());
        if (m_parser.isHeadComplete() && !m_isHeadDelivered) {
            deliverHead();
        }
        m_droppedBytes += m_isDropping ? taken.value() : 0;
        if (m_droppedBytes > mostDroppedBytes) {
            failExchange(SessionFailure::Malformed, "too many bytes before the answer");
            return;
        }
        const std::string body = m_parser.takeBody();
        if (m_listener != nullptr && !m_isDropping && !body.empty()) {
            m_listener->answerBody(body);
        }
        if (m_parser.isComplete() && m_listener != nullptr) {
            messageComplete();
        }
    }
    if (!bytes.empty()) {
        // Bytes after the end of the answer belong to no request.
        m_isReusable = false;
        m_stream->close();
    }
}

void TargetSession::deliverHead()
{
    m_isHeadDelivered = true;
    const HttpHead &head = m_parser.head();
    m_isDropping = head.isInformational() || isForeignAnswer();
    if (!m_isDropping) {
        m_listener->answerStarted(head);
    }
}

bool TargetSession::isForeignAnswer() const
{
    if (m_requestId.empty()) {
        return false;
    }
    const std::optional<std::string_view> id = m_parser.head().header(m_names.requestId);
    // Without an id, only the first answer on a connection is certain to belong to the request: a later one may be a
    // late copy of an earlier answer, even of a refusal that says that its request has not run.
    return id ? *id != m_requestId : isReused();
}

bool TargetSession::endsAnswer() const
{
    const bool isRequestSent = m_isRequestComplete && m_stream->pendingOutput() == 0;
    return isRequestSent && m_isHeadDelivered && !m_isDropping && m_parser.endsWithConnection();
}

bool TargetSession::namesRequest() const
{
    return m_requestId.empty() || m_parser.head().header(m_names.requestId).has_value();
}

void TargetSession::messageComplete()
{
    if (m_isDropping) {
        m_hasDropped = m_hasDropped || !m_parser.head().isInformational();
        m_isHeadDelivered = false;
        m_isDropping = false;
        m_parser.begin(m_isHead);
        return;
    }
    const std::optional<std::chrono::seconds> idleTime = statedIdleTime(m_parser.head());
    m_idleEnd = idleTime ? Deadline::after(m_loop.now(), *idleTime) : Deadline::never();
    // A connection on which answers to earlier requests arrived, or can't be recognized, is not used again.
    const bool isTrusted = !m_hasDropped && namesRequest();
    finish(m_parser.head().keepsConnection && isTrusted && m_stream->pendingOutput() == 0);
}

void TargetSession::finish(bool isReusable)
{
    m_isReusable = isReusable;
    m_idleSince = m_loop.now();
    // Reading may have been paused for a slow caller, and an idle connection has to notice when the target closes it.
    m_stream->setReading(true);
    TargetSessionListener *listener = m_listener;
    m_listener = nullptr;
    listener->answerFinished();
}

void TargetSession::peerClosed(bool isBroken)
{
    const RefPointer<TargetSession> self(this);
    m_isReusable = false;
    if (m_listener == nullptr) {
        m_stream->close();
        m_onLostWhileIdle();
        return;
    }
    if (!m_isConnected) {
        failExchange(SessionFailure::NotConnected, "connection not established");
        return;
    }
    if (!isBroken && endsAnswer()) {
        m_stream->close();
        finish(false);
        return;
    }
    failExchange(!mayHaveReceivedRequest() ? SessionFailure::NotSent : SessionFailure::Broken,
                 isBroken ? "connection reset" : "connection closed before the end of the answer");
}

void TargetSession::outputDrained()
{
    if (m_listener != nullptr) {
        m_listener->requestDrained();
    }
}

void TargetSession::failExchange(SessionFailure failure, const std::string &detail)
{
    m_isReusable = false;
    m_connectTimer.stop();
    TargetSessionListener *listener = m_listener;
    m_listener = nullptr;
    m_stream->close();
    listener->exchangeFailed(failure, detail);
}

} // namespace Sapphire
