#include <LibCaller/EntryHandler.h>

#include <LibCaller/BufferedBody.h>
#include <LibCaller/RecordingSink.h>
#include <LibCaller/StaleRetryDelay.h>
#include <LibRequest/IssuedRequestId.h>

namespace Sapphire {

namespace {

// No target can answer in less time than this.
constexpr Milliseconds leastTime { 2 };
constexpr Milliseconds stateTimeout { 500 };

ExchangeReport refused(Refusal refusal)
{
    return { std::move(refusal), false };
}

Verdict verdictOf(RequestState state)
{
    switch (state) {
    case RequestState::NotRun:
        return Verdict::NotRun;
    case RequestState::Ran:
        return Verdict::Ran;
    case RequestState::Running:
    case RequestState::MayHaveRun:
        break;
    }
    return Verdict::MayHaveRun;
}

} // namespace

EntryHandler::EntryHandler(Parts parts, VmIncarnation process) : m_parts(parts), m_process(std::move(process))
{
}

std::optional<Refusal> EntryHandler::refuseBeforeReading(const RequestHead &head) const
{
    const TimePoint now = m_parts.clock.now();
    if (m_parts.serving.phase() == ServingState::Phase::Refusing) {
        return Refusal { RefusalReason::Draining,
                         Verdict::NotRun,
                         "this VM is stopping; use another one",
                         Deadline::after(now, Microseconds::zero()),
                         {} };
    }
    if (head.deadline.remaining(now) < leastTime) {
        return Refusal {
            RefusalReason::DeadlineTooShort, Verdict::NotRun, "too little time is left to run the request", {}, {}
        };
    }
    return std::nullopt;
}

std::optional<Refusal> EntryHandler::refuseBeforeDispatch(const RequestHead &head, const AnswerSink &sink) const
{
    if (head.deadline.hasPassed(m_parts.clock.now())) {
        return Refusal { RefusalReason::DeadlinePassed,
                         Verdict::NotRun,
                         "the deadline passed before the request was dispatched",
                         {},
                         {} };
    }
    if (sink.isCancelled()) {
        // After a pause, this VM may have requests whose callers gave up long ago and were told by another VM that the
        // requests have not run.
        return Refusal { RefusalReason::Cancelled,
                         Verdict::NotRun,
                         "the caller disconnected before the request was dispatched",
                         {},
                         {} };
    }
    return std::nullopt;
}

std::optional<Refusal> EntryHandler::admit(const RequestHead &head)
{
    if (head.customer.isEmpty()) {
        return std::nullopt;
    }
    const Admission admission = m_parts.limiter.admit(head.customer, head.deadline);
    const Deadline soon = Deadline::after(m_parts.clock.now(), staleRetryDelay);
    switch (admission.kind) {
    case Admission::Kind::Admitted:
        return std::nullopt;
    case Admission::Kind::RateExceeded:
        return Refusal { RefusalReason::RateExceeded,
                         Verdict::NotRun,
                         "the customer exceeded its rate and burst",
                         admission.nextTokenAt,
                         {} };
    case Admission::Kind::NotFresh:
        return Refusal {
            RefusalReason::NotFresh, Verdict::NotRun, "this VM currently can't tell what other VMs admit", soon, {}
        };
    case Admission::Kind::UnknownCustomer:
        break;
    }
    return Refusal { RefusalReason::KeyRejected, Verdict::NotRun, "the customer was removed", {}, {} };
}

void EntryHandler::correctVerdict(const RequestHead &head, Refusal &refusal)
{
    if (head.id.isEmpty() || refusal.verdict != Verdict::NotRun) {
        return;
    }
    const Deadline deadline = head.deadline.earlier(Deadline::after(m_parts.clock.now(), stateTimeout));
    refusal.verdict = verdictOf(m_parts.states.find({ head.customer, head.id }, deadline).state);
}

ExchangeReport EntryHandler::handleEntry(const RequestHead &head, BodySource &body, AnswerSink &sink)
{
    const ServingState::Running running(m_parts.serving);
    BufferedBody buffered(body);
    std::optional<Refusal> refusal = refuseBeforeReading(head);
    if (!refusal) {
        const Outcome<void> filled = capture([&] {
            return buffered.fill();
        });
        if (!filled) {
            refusal = Refusal { refusalReasonOf(filled.error().code), Verdict::NotRun, filled.error().message, {}, {} };
        }
    }
    if (!refusal) {
        refusal = admit(head);
    }
    if (refusal) {
        correctVerdict(head, *refusal);
        return refused(std::move(*refusal));
    }
    const Fingerprint fingerprint = fingerprintOf(head, buffered.buffered());
    if (head.id.isEmpty()) {
        return m_parts.router.route(head, buffered, sink, fingerprint);
    }
    const std::optional<IssuedRequestId> issued = IssuedRequestId::parse(head.id);
    if (issued && issued->issuer().vm != m_process.vm) {
        return sendToIssuer(issued->issuer(), head, buffered, sink);
    }
    return runOnce(head, buffered, sink, fingerprint);
}

ExchangeReport EntryHandler::handle(const RequestHead &head, BodySource &body, AnswerSink &sink)
{
    const ServingState::Running running(m_parts.serving);
    if (std::optional<Refusal> refusal = refuseBeforeReading(head)) {
        // Even while this VM refuses new requests, its verdicts must be correct for the ids that it is running.
        correctVerdict(head, *refusal);
        return refused(std::move(*refusal));
    }
    BufferedBody buffered(body);
    const Outcome<void> filled = capture([&] {
        return buffered.fill();
    });
    if (!filled) {
        return refused({ refusalReasonOf(filled.error().code), Verdict::NotRun, filled.error().message, {}, {} });
    }
    const Fingerprint fingerprint = fingerprintOf(head, buffered.buffered());
    const std::optional<IssuedRequestId> issued = IssuedRequestId::parse(head.id);
    if (issued && issued->issuer().vm == m_process.vm) {
        return runOnce(head, buffered, sink, fingerprint);
    }
    return m_parts.router.runForwarded(head, buffered, sink, fingerprint);
}

ExchangeReport EntryHandler::runOnce(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                     const Fingerprint &fingerprint)
{
    const RequestKey key { head.customer, head.id };
    RequestLedger::BeginResult result = m_parts.ledger.begin(key, head.deadline);
    if (auto *refusal = std::get_if<Refusal>(&result)) {
        return refused(std::move(*refusal));
    }
    if (const auto *known = std::get_if<RequestLedger::Replay>(&result)) {
        return replay(known->answer, sink);
    }
    if (std::optional<Refusal> refusal = refuseBeforeDispatch(head, sink)) {
        m_parts.ledger.finish(key, Verdict::NotRun, {});
        return refused(std::move(*refusal));
    }
    RecordingSink recording(sink);
    ExchangeReport report = m_parts.router.route(head, body, recording, fingerprint);
    m_parts.ledger.finish(key, report.verdict(), recording.takeAnswer());
    return report;
}

ExchangeReport EntryHandler::sendToIssuer(const VmIncarnation &issuer, const RequestHead &head, BodySource &body,
                                          AnswerSink &sink)
{
    ExchangeReport report = m_parts.peers.forward(issuer.vm, head, body, sink);
    if (!report.refusal || report.isAnswerStarted || report.refusal->verdict != Verdict::NotRun) {
        return report;
    }
    // This attempt has not run. Whether an earlier one has run is known to the issuer or stored in the table.
    const Deadline deadline = head.deadline.earlier(Deadline::after(m_parts.clock.now(), stateTimeout));
    const RequestRecord record = m_parts.states.find({ head.customer, head.id }, deadline);
    if (record.state == RequestState::Ran && record.answer.isWhole) {
        return replay(record.answer, sink);
    }
    report.refusal->verdict = verdictOf(record.state);
    return report;
}

ExchangeReport EntryHandler::replay(const RecordedAnswer &answer, AnswerSink &sink)
{
    AnswerHead head;
    head.status = answer.status;
    head.headers = answer.headers;
    head.bodyBytes = answer.body.size();
    head.target = answer.target;
    const Outcome<void> sent = capture([&]() -> Result<void> {
        BOOST_LEAF_CHECK(sink.start(head));
        BOOST_LEAF_CHECK(sink.write(answer.body));
        return sink.finish();
    });
    if (!sent) {
        return { Refusal { RefusalReason::Cancelled, Verdict::Ran, sent.error().message, {}, {} }, true };
    }
    return { std::nullopt, true };
}

} // namespace Sapphire
