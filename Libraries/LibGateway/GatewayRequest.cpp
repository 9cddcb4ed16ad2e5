#include <LibGateway/GatewayRequest.h>

#include <LibCore/Duration.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/GatewayEvents.h>
#include <LibGateway/RefusalAnswer.h>

namespace Sapphire {

namespace {

// Bodies up to this size are buffered before a target gets the request, so that a slow caller holds no slot and the
// request can be sent again.
constexpr std::size_t mostKeptBody = 65'536;
// How many bytes are buffered for a caller or target that reads slowly before the other side is no longer read from.
constexpr std::size_t mostPendingOutput = 262'144;
// Connections that have been idle for longer get no request that can't be sent twice, since the target may be closing
// them.
constexpr Milliseconds freshIdleTime { 1'000 };
// Limit of the attempts of one request at targets that accept no connection.
constexpr int mostUnconnectedAttempts = 3;
// An answer whose head has come may still arrive for this long after the request's time is up. A caller has to have the
// end of an answer half a second after the route's timeout.
constexpr Milliseconds lateAnswerTime { 200 };
constexpr int firstServerError = 500;

} // namespace

GatewayRequest::GatewayRequest(Gateway &gateway)
    : m_gateway(gateway), m_loop(gateway.loop()), m_giveUpTimer(gateway.loop(), [this] {
        giveUp();
    })
{
}

GatewayRequest::~GatewayRequest() = default;

void GatewayRequest::begin(HttpServerConnection &connection, const HttpHead &head)
{
    m_connection = &connection;
    m_arrivedAt = m_loop.now();
    m_gateway.noteBegun(*this);
    Outcome<CallerRequest> caller = capture([&] {
        return readCallerRequest(head, m_gateway.names(), m_arrivedAt);
    });
    if (!caller) {
        refuse(RefusalReason::BadRequest, Verdict::NotRun, caller.error().message);
        return;
    }
    m_caller = std::move(caller.value());
    if (!admit()) {
        return;
    }
    m_giveUpAt = Deadline::after(m_arrivedAt, m_route->timeout).earlier(m_caller.deadline);
    m_giveUpTimer.start(m_giveUpAt);
    if (m_customer == nullptr) {
        m_state = State::ReadingBody;
        return;
    }
    m_state = State::AwaitingQuota;
    m_gateway.quotaWaiters().submit(*this);
}

bool GatewayRequest::isBodyReady() const
{
    return m_isBodyComplete || m_body.size() > mostKeptBody;
}

RequestTimes GatewayRequest::times() const
{
    RequestTimes times;
    times.arrivedAt = m_arrivedAt;
    times.wantedBy = Deadline::after(m_arrivedAt, m_route->targetLatency);
    times.giveUpAt = m_giveUpAt.earlier(m_gateway.stopsAt());
    times.callerDeadline = m_caller.deadline;
    times.timeout = m_route->timeout;
    return times;
}

void GatewayRequest::bodyReceived(std::string_view bytes, bool isComplete)
{
    const RefPointer<GatewayRequest> self(this);
    if (m_state == State::New || m_state == State::Done) {
        return;
    }
    m_bodyBytes += bytes.size();
    if (m_bodyBytes > m_rules->limits().bodyBytes) {
        if (m_attempt) {
            m_attempt->abandon();
        }
        if (m_attempts == 0) {
            refuseByRules(RefusalReason::TooLarge, "the body is larger than the limit");
        } else {
            refuse(RefusalReason::TooLarge, Verdict::MayHaveRun, "the body is larger than the limit");
        }
        return;
    }
    m_isBodyComplete = isComplete;
    if (m_isBodyKept) {
        m_body.append(bytes);
    }
    if (m_attempt) {
        m_isBodyKept = m_isBodyKept && m_body.size() <= mostKeptBody;
        m_attempt->sendBody(bytes, isComplete);
        if (m_connection != nullptr && !isComplete && m_attempt->pendingOutput() > mostPendingOutput) {
            m_connection->setReading(false);
        }
        return;
    }
    if (m_body.size() > mostKeptBody && !isComplete && m_connection != nullptr) {
        // The rest stays with the caller until there is a target.
        m_connection->setReading(false);
    }
    if (m_state == State::ReadingBody && isBodyReady()) {
        submit();
    }
}

void GatewayRequest::submit()
{
    if (m_fingerprint.isEmpty()) {
        m_fingerprint = fingerprintOf(m_customer != nullptr ? m_customer->id : CustomerId(), m_caller, m_body);
    }
    if (m_gateway.crashMonitor().isRefused(m_fingerprint, m_route->isIdempotent, m_loop.now())) {
        refuse(RefusalReason::SuspectedCrash, m_verdict, "targets died while they ran this request");
        return;
    }
    if (m_attempts == 0 && m_gateway.refusesNewRequests()) {
        // Its body or its customer's token came late in the stop, and an answer may not come before its end.
        refuse(RefusalReason::Draining, Verdict::NotRun, "this VM is stopping", m_gateway.shortRetryTime());
        return;
    }
    m_state = State::Waiting;
    m_gateway.dispatcher().submit(*this);
}

void GatewayRequest::sendTo(const RefPointer<GatewayTarget> &target, const AttemptForecast &forecast)
{
    const RefPointer<GatewayRequest> self(this);
    m_state = State::Running;
    ++m_attempts;
    m_tried.insert(target->id());
    m_gateway.noteSent(*this, m_attempts > 1);
    m_attempt = makeRefCounted<RequestAttempt>(m_loop, m_gateway.names(), target, forecast, *this);
    TargetRequestHead head { m_caller, target->id(), m_customer != nullptr ? m_customer->id : CustomerId(), m_giveUpAt,
                             m_caller.bodyBytes };
    if (m_isBodyComplete) {
        head.bodyBytes = m_bodyBytes;
    }
    const TimePoint usedSince = m_route->isIdempotent ? TimePoint {} : m_loop.now() - freshIdleTime;
    const RefPointer<RequestAttempt> attempt = m_attempt;
    const Outcome<void> started = capture([&] {
        return attempt->start(head, m_body, m_isBodyComplete, usedSince);
    });
    if (!started) {
        attempt->abandon();
        attemptFailed(*attempt,
                      { AttemptFailure::Kind::NotConnected, Verdict::NotRun, false, started.error().message });
        return;
    }
    if (m_connection != nullptr && !m_isBodyComplete) {
        m_isBodyKept = m_body.size() <= mostKeptBody;
        m_connection->setReading(true);
    }
}

void GatewayRequest::attemptHeadArrived(RequestAttempt &attempt)
{
    m_gateway.noticeReader().read(attempt.target(), attempt.targetStartedAtMilliseconds(), attempt.answer(), "request");
}

bool GatewayRequest::attemptAnswered(RequestAttempt &attempt)
{
    const bool isServerError = attempt.answer().status >= firstServerError;
    if (isServerError && attempt.isAnswerWhole() && retryInsteadOf(attempt)) {
        return false;
    }
    m_state = State::Answering;
    if (m_connection == nullptr) {
        return true;
    }
    HttpAnswerHead head;
    head.status = attempt.answer().status;
    head.headers = headersForCaller(attempt.answer());
    head.bodyBytes = attempt.answer().bodyBytes;
    if (attempt.isAnswerWhole() && !m_caller.isHead()) {
        head.bodyBytes = attempt.body().size();
    }
    m_connection->startAnswer(head);
    attemptBody(attempt, attempt.body());
    return true;
}

void GatewayRequest::attemptBody(RequestAttempt &attempt, std::string_view bytes)
{
    if (m_connection == nullptr) {
        return;
    }
    m_connection->writeBody(bytes);
    if (m_connection->pendingOutput() > mostPendingOutput) {
        attempt.setReading(false);
    }
}

void GatewayRequest::attemptFinished(RequestAttempt &attempt)
{
    const RefPointer<GatewayRequest> self(this);
    if (m_state != State::Answering || m_attempt.get() != &attempt) {
        return;
    }
    m_gateway.noteAnswered(*this, attempt);
    logAnswer(attempt);
    HttpServerConnection *const connection = m_connection;
    end();
    if (connection != nullptr) {
        connection->finishAnswer(Deadline::after(m_giveUpAt.at(), lateAnswerTime));
    }
}

void GatewayRequest::attemptFailed(RequestAttempt &attempt, const AttemptFailure &failure)
{
    const RefPointer<GatewayRequest> self(this);
    m_verdict = combine(m_verdict, failure.verdict);
    m_unconnected += failure.kind == AttemptFailure::Kind::NotConnected ? 1 : 0;
    m_gateway.noteFailed(*this, attempt, failure);
    logFailure(attempt, failure);
    m_attempt.reset();
    if (m_state == State::Answering) {
        abortAnswer(attempt, failure.detail);
        return;
    }
    if (!m_isCallerGone && maySendAgain(failure)) {
        submit();
        return;
    }
    failFor(failure);
}

bool GatewayRequest::maySendAgain(const AttemptFailure &failure) const
{
    const bool isSafeToRetry = failure.verdict == Verdict::NotRun || m_route->isIdempotent;
    // The route limits how many targets get the request; a target that accepts no connection has got nothing.
    const bool hasAttempt =
        m_attempts - m_unconnected < m_route->mostAttempts && m_unconnected < mostUnconnectedAttempts;
    return isSafeToRetry && m_isBodyKept && hasAttempt && !m_giveUpAt.hasPassed(m_loop.now())
        && m_gateway.mayRetry(m_service);
}

bool GatewayRequest::retryInsteadOf(RequestAttempt &attempt)
{
    const RefPointer<GatewayRequest> self(this);
    AttemptFailure failure;
    failure.detail = "status " + std::to_string(attempt.answer().status);
    if (TargetNoticeReader::isTurnedAway(attempt.answer())) {
        failure.kind = AttemptFailure::Kind::Shed;
    }
    if (!m_route->isIdempotent || m_isCallerGone || !maySendAgain(failure)) {
        return false;
    }
    m_verdict = Verdict::MayHaveRun;
    m_gateway.noteFailed(*this, attempt, failure);
    logFailure(attempt, failure);
    m_attempt.reset();
    submit();
    return true;
}

void GatewayRequest::failFor(const AttemptFailure &failure)
{
    if (m_verdict == Verdict::NotRun) {
        refuse(RefusalReason::NoCapacity, m_verdict, failure.detail, m_gateway.dispatcher().retryTime(*this));
    } else {
        refuse(RefusalReason::TargetFailed, m_verdict, failure.detail);
    }
}

void GatewayRequest::attemptDrained(RequestAttempt &)
{
    if (m_connection != nullptr && !m_isBodyComplete) {
        m_connection->setReading(true);
    }
}

void GatewayRequest::outputDrained()
{
    if (m_attempt) {
        m_attempt->setReading(true);
    }
}

void GatewayRequest::giveUp()
{
    const RefPointer<GatewayRequest> self(this);
    if (m_state == State::Answering) {
        giveUpAnswer();
        return;
    }
    if (m_state == State::AwaitingQuota || m_state == State::ReadingBody || m_state == State::Waiting) {
        m_gateway.quotaWaiters().cancel(*this);
        m_gateway.dispatcher().cancel(*this);
        const bool isNotRun = m_verdict == Verdict::NotRun;
        refuse(isNotRun ? RefusalReason::NoCapacity : RefusalReason::DeadlinePassed, m_verdict,
               "no target available in time");
        return;
    }
    if (m_attempt) {
        m_verdict = combine(m_verdict, m_attempt->verdict());
        AttemptFailure failure;
        failure.verdict = m_attempt->verdict();
        failure.detail = "no answer before the request was given up";
        logFailure(*m_attempt, failure);
        m_gateway.noteTimeout(*this, *m_attempt);
        m_attempt->abandon();
    }
    refuse(RefusalReason::DeadlinePassed, m_verdict, "no answer in time");
}

void GatewayRequest::giveUpAnswer()
{
    const RefPointer<RequestAttempt> attempt = m_attempt;
    if (m_isCallerGone) {
        attempt->abandon();
        end();
        return;
    }
    const Deadline answerEnd = Deadline::after(m_giveUpAt.at(), lateAnswerTime);
    if (!answerEnd.hasPassed(m_loop.now())) {
        m_giveUpTimer.start(answerEnd);
        return;
    }
    // What the caller has not read yet keeps the rest from being read from the target, which is not to blame then.
    const bool isCallerSlow = m_connection->pendingOutput() > 0;
    if (!isCallerSlow) {
        m_gateway.noteTimeout(*this, *attempt);
    }
    attempt->abandon();
    abortAnswer(*attempt, isCallerSlow ? "not read by the caller in time" : "not complete in time");
}

void GatewayRequest::abortAnswer(RequestAttempt &attempt, const std::string &detail)
{
    logEvent(GatewayEvents::answerAborted,
             { { "request", m_caller.id }, { "target", attempt.target().id() }, { "detail", detail } });
    HttpServerConnection *const connection = m_connection;
    end();
    if (connection != nullptr) {
        connection->abortAnswer();
    }
}

void GatewayRequest::callerGone()
{
    const RefPointer<GatewayRequest> self(this);
    m_connection = nullptr;
    m_isCallerGone = true;
    if (m_state == State::Done) {
        return;
    }
    logEvent(GatewayEvents::requestAbandoned,
             { { "request", m_caller.id }, { "afterMilliseconds", millisecondsBetween(m_arrivedAt, m_loop.now()) } });
    m_gateway.quotaWaiters().cancel(*this);
    m_gateway.dispatcher().cancel(*this);
    // A request that is not idempotent must not be cut while it runs; its answer is dropped.
    const bool runsOn = m_state == State::Running && m_attempt && !m_route->isIdempotent && m_isBodyComplete;
    if (runsOn) {
        return;
    }
    if (m_attempt) {
        m_attempt->abandon();
    }
    end();
}

void GatewayRequest::refuse(RefusalReason reason, Verdict verdict, const std::string &detail,
                            std::optional<Deadline> retryAt)
{
    const RefPointer<GatewayRequest> self(this);
    const Refusal refusal { reason, verdict, detail, retryAt, {} };
    m_gateway.noteRefused(refusal);
    logRefusal(refusal);
    HttpServerConnection *const connection = m_connection;
    end();
    if (connection != nullptr) {
        connection->answer(headOf(refusal, m_loop.now()), detail + "\n");
    }
}

void GatewayRequest::end()
{
    m_state = State::Done;
    m_connection = nullptr;
    m_giveUpTimer.stop();
    m_attempt.reset();
    m_gateway.noteEnded(*this);
}

} // namespace Sapphire
