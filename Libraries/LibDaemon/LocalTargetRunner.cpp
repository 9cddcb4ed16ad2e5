#include <LibDaemon/LocalTargetRunner.h>

namespace Sapphire {

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
        context.mayRetry = [this, &head, fingerprint = options.fingerprint](const AttemptReport &) {
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
