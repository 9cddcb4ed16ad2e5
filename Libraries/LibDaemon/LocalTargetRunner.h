#pragma once

#include <LibCaller/LocalTargets.h>
#include <LibCaller/RegionRouter.h>
#include <LibTarget/ServiceTargets.h>

namespace Sapphire {

/// Runs requests at the own region's targets, with the router's retry budget and search for crashing requests.
class LocalTargetRunner final : public LocalTargets, public TargetDeathListener
{
public:
    LocalTargetRunner(ServiceTargets &targets, Tracer &tracer);
    /// Joins it with the router, which needs it first.
    void connect(RegionRouter &router);

    ExchangeReport run(const RequestHead &head, BodySource &body, AnswerSink &sink,
                       const LocalRunOptions &options) override;

private:
    ServiceTargets &m_targets;
    Tracer &m_tracer;
    RegionRouter *m_router { nullptr };
};

} // namespace Sapphire
