#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <string>
#include <vector>

namespace Sapphire {

/// What was in flight when a target died.
struct TargetDeath
{
    TargetId target;
    TimePoint at {};
    /// Of this VM's requests that were in flight there, one for each, as given to ServiceTargets::run().
    std::vector<std::string> fingerprints;
    /// Whether these were all requests in flight there, as far as this VM knows: the target's last report counted no
    /// more.
    bool areAllKnown { false };
};

/// Learns which requests may have killed a target.
class TargetDeathListener
{
public:
    virtual ~TargetDeathListener() = default;

    /// Called once for each death, before any of the requests is retried. May be called from any thread; must not
    /// call ServiceTargets.
    virtual void targetDied(const TargetDeath &death) = 0;
};

} // namespace Sapphire
