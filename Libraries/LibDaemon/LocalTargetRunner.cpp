#include <LibDaemon/LocalTargetRunner.h>

namespace Sapphire {

namespace {

// A target that sheds a request has done no work for it. Several VMs share the slots of a target, so it sheds now and
// then although the region has free slots; such retries would use up the retry budget, which is meant for failures.
constexpr int freeRetriesAfterShedding = 2;

} // namespace

LocalTargetRunner::LocalTargetRunner(ServiceTargets &targets, Tracer &tracer, VmId ownVm)
    : m_targets(targets), m_tracer(tracer), m_ownVm(std::move(ownVm))
{
}

void LocalTargetRunner::connect(RegionRouter &router)
{
    m_router = &router;
}

ExchangeReport LocalTargetRunner::run(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                      const LocalRunOptions &options)
{
    Span span = m_tracer.startSpan("target " + head.service.text(), SpanKind::Client, head.trace);
    span.setAttribute("sapphire.vm", m_ownVm.text());
    RequestHead traced = head;
    traced.trace = span.context();
    RunContext context;
    context.fingerprint = options.fingerprint.text();
    if (options.mayRetry) {
        context.mayRetry = [this, &head, fingerprint = options.fingerprint,
                            freeRetries = freeRetriesAfterShedding](const AttemptReport &attempt) mutable {
            const bool hasDoneNoWork = attempt.end == AttemptEnd::Shed || attempt.end == AttemptEnd::OwnLimit;
            if (hasDoneNoWork && freeRetries > 0) {
                --freeRetries;
                return true;
            }
            return m_router->tryRetry(head, fingerprint);
        };
    }
    ExchangeReport report = m_targets.run(traced, body, sink, context);
    if (report.refusal) {
        span.setFailed(std::string(nameOf(report.refusal->reason)));
    }
    return report;
}

} // namespace Sapphire
