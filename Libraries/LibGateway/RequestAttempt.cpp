#include <LibGateway/RequestAttempt.h>

#include <LibGateway/TargetNoticeReader.h>
#include <LibNet/ChunkedEncoding.h>

#include <charconv>
#include <cmath>

namespace Sapphire {

namespace {

// Longer answers are forwarded as they arrive.
constexpr std::size_t mostHeldBytes = 65'536;
// An answer that takes longer to be complete is forwarded as it arrives.
constexpr Milliseconds longestHold { 50 };
constexpr int statusMisdirected = 421;
constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;
constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;

std::optional<LoadReport> readLoad(std::string_view text)
{
    LoadReport report;
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    for (int *number : { &report.running, &report.waiting, &report.slots }) {
        const auto result = std::from_chars(position, end, *number);
        if (result.ec != std::errc() || *number < 0) {
            return std::nullopt;
        }
        position = result.ptr < end ? result.ptr + 1 : result.ptr;
    }
    return report;
}

std::optional<double> readRate(std::string_view text)
{
    double rate = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, rate);
    const bool isValid = result.ec == std::errc() && result.ptr == end && std::isfinite(rate) && rate >= 0;
    return isValid ? std::optional(rate) : std::nullopt;
}

} // namespace

RequestAttempt::RequestAttempt(EventLoop &loop, const WireNames &names, RefPointer<GatewayTarget> target,
                               const AttemptForecast &forecast, AttemptOwner &owner)
    : m_loop(loop)
    , m_names(names)
    , m_target(std::move(target))
    , m_targetStartedAtMilliseconds(m_target->entry().startedAtMilliseconds)
    , m_forecast(forecast)
    , m_owner(owner)
    , m_holdTimer(loop,
                  [this] {
                      deliverAnswer();
                  })
    , m_startedAt(loop.now())
{
    m_target->load().noteSent();
}

RequestAttempt::~RequestAttempt()
{
    if (!m_isOver) {
        abandon();
    }
}

Result<void> RequestAttempt::start(const TargetRequestHead &head, std::string_view body, bool isBodyComplete,
                                   TimePoint usedSince)
{
    BOOST_LEAF_ASSIGN(m_session, m_target->acquire(usedSince));
    m_wasIdleConnection = m_session->isConnected();
    m_isChunkedBody = !head.bodyBytes;
    const std::string text = writeTargetRequest(head, m_names, m_loop.now());
    m_session->begin(*this, text, head.request.id.text(), head.request.isHead());
    sendBody(body, isBodyComplete);
    return {};
}

void RequestAttempt::sendBody(std::string_view bytes, bool isComplete)
{
    if (m_isOver || m_isBodySent || !m_session) {
        return;
    }
    if (!bytes.empty()) {
        if (m_isChunkedBody) {
            m_session->sendMore(chunkHead(bytes.size()));
        }
        m_session->sendMore(bytes);
        if (m_isChunkedBody) {
            m_session->sendMore("\r\n");
        }
    }
    if (isComplete) {
        m_isBodySent = true;
        if (m_isChunkedBody) {
            m_session->sendMore(lastChunk);
        }
        m_session->completeRequest();
    }
}

void RequestAttempt::abandon()
{
    if (m_isOver) {
        return;
    }
    if (m_session) {
        m_session->abandon();
    }
    end();
}

void RequestAttempt::setReading(bool isReading)
{
    if (m_session && !m_isOver) {
        m_session->setReading(isReading);
    }
}

void RequestAttempt::answerStarted(const HttpHead &head)
{
    m_answer = head;
    m_answeredAt = m_loop.now();
    if (const std::optional<std::string_view> load = head.header(m_names.load)) {
        m_load = readLoad(*load);
    }
    m_holdTimer.start(Deadline::after(m_loop.now(), longestHold));
    m_owner.attemptHeadArrived(*this);
}

void RequestAttempt::answerBody(std::string_view bytes)
{
    if (m_isAnswerDelivered) {
        m_owner.attemptBody(*this, bytes);
        return;
    }
    m_body.append(bytes);
    if (m_body.size() > mostHeldBytes) {
        deliverAnswer();
    }
}

void RequestAttempt::answerFinished()
{
    const RefPointer<RequestAttempt> self(this);
    m_isAnswerWhole = true;
    if (!m_isBodySent) {
        // The target still expects the rest of the body on this connection.
        m_session->abandon();
    } else {
        m_target->release(m_session);
    }
    if (isNotRun()) {
        failAsNotRun();
        return;
    }
    end();
    deliverAnswer();
    if (m_isAnswerDelivered) {
        m_owner.attemptFinished(*this);
    }
}

void RequestAttempt::deliverAnswer()
{
    const RefPointer<RequestAttempt> self(this);
    m_holdTimer.stop();
    if (m_isAnswerDelivered) {
        return;
    }
    if (isNotRun()) {
        // The rest of its body matters to nobody and may never end.
        m_session->abandon();
        failAsNotRun();
        return;
    }
    if (!isCredible()) {
        if (!m_isOver) {
            m_session->abandon();
        }
        const bool isTurnedAway = TargetNoticeReader::isTurnedAway(m_answer);
        fail(isTurnedAway ? AttemptFailure::Kind::Shed : AttemptFailure::Kind::Malformed, Verdict::MayHaveRun,
             "status " + std::to_string(m_answer.status)
                 + " without the target's seal or with an unexpected content encoding");
        return;
    }
    m_isAnswerDelivered = m_owner.attemptAnswered(*this);
}

void RequestAttempt::exchangeFailed(SessionFailure failure, const std::string &detail)
{
    const RefPointer<RequestAttempt> self(this);
    switch (failure) {
    case SessionFailure::NotConnected:
    case SessionFailure::NotSent:
        fail(AttemptFailure::Kind::NotConnected, Verdict::NotRun, detail);
        return;
    case SessionFailure::Malformed:
        fail(AttemptFailure::Kind::Malformed, Verdict::MayHaveRun, detail);
        return;
    case SessionFailure::Broken:
        fail(AttemptFailure::Kind::Broken, Verdict::MayHaveRun, detail);
        return;
    }
}

void RequestAttempt::requestDrained()
{
    m_owner.attemptDrained(*this);
}

void RequestAttempt::failAsNotRun()
{
    const bool isMisdirected = m_answer.status == statusMisdirected;
    fail(isMisdirected ? AttemptFailure::Kind::WrongTarget : AttemptFailure::Kind::Shed, Verdict::NotRun,
         "status " + std::to_string(m_answer.status));
}

std::optional<double> RequestAttempt::rateLimit() const
{
    const std::optional<std::string_view> text = m_answer.header(m_names.rateLimit);
    return text ? readRate(*text) : std::nullopt;
}

bool RequestAttempt::isNotRun() const
{
    return m_answer.status == statusMisdirected || m_answer.header(m_names.notRun).has_value();
}

bool RequestAttempt::isCredible() const
{
    const bool isSuccess = m_answer.status >= firstSuccess && m_answer.status < firstRedirection;
    if (isSuccess) {
        return isSealed() && !m_answer.header("Content-Encoding");
    }
    // Other server errors say nothing that a caller relies on.
    const bool isGenericServerError = m_answer.status >= firstServerError && m_answer.status != statusUnavailable;
    return isSealed() || isGenericServerError;
}

void RequestAttempt::end()
{
    if (m_isOver) {
        return;
    }
    m_isOver = true;
    m_holdTimer.stop();
    m_target->load().noteEnded();
    if (m_load) {
        m_target->load().noteReport(*m_load, m_loop.now());
    }
}

void RequestAttempt::fail(AttemptFailure::Kind kind, Verdict verdict, std::string detail)
{
    end();
    AttemptFailure failure { kind, verdict, false, std::move(detail) };
    failure.isStaleConnection = kind == AttemptFailure::Kind::Broken && m_wasIdleConnection && m_answer.status == 0;
    m_owner.attemptFailed(*this, failure);
}

} // namespace Sapphire
