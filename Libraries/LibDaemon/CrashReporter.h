#pragma once

#include <LibCaller/RegionRouter.h>
#include <LibTarget/TargetDeathListener.h>

namespace Sapphire {

/// Reports to the router which requests were running when a target died.
class CrashReporter final : public TargetDeathListener
{
public:
    /// Sets the router, which is constructed after this object.
    void connect(RegionRouter &router)
    {
        m_router = &router;
    }

    void targetDied(const TargetDeath &death) override;

private:
    RegionRouter *m_router { nullptr };
};

} // namespace Sapphire
