#pragma once

#include <LibCaller/RegionRouter.h>
#include <LibTarget/TargetDeathListener.h>

namespace Sapphire {

/// Tells the router which requests were running when a target died.
class CrashReporter final : public TargetDeathListener
{
public:
    /// Joins it with the router, which is made after it.
    void connect(RegionRouter &router)
    {
        m_router = &router;
    }

    void targetDied(const TargetDeath &death) override;

private:
    RegionRouter *m_router { nullptr };
};

} // namespace Sapphire
