#pragma once

#include <LibCaller/LocalTargets.h>
#include <LibCaller/RegionRouter.h>
#include <LibTarget/ServiceTargets.h>

namespace Sapphire {

/// Runs requests at the targets of the own region and retries them within the router's retry budget.
class LocalTargetRunner final : public LocalTargets
{
public:
    LocalTargetRunner(ServiceTargets &targets, Tracer &tracer, VmId ownVm);
    /// Sets the router, which is constructed after this object.
    void connect(RegionRouter &router);

    ExchangeReport run(const RequestHead &head, BodySource &body, AnswerSink &sink,
                       const LocalRunOptions &options) override;

private:
    ServiceTargets &m_targets;
    Tracer &m_tracer;
    VmId m_ownVm;
    RegionRouter *m_router { nullptr };
};

} // namespace Sapphire
