#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <string>
#include <vector>

namespace Sapphire {

/// The death of a target and the requests that were in flight there.
struct TargetDeath
{
    TargetId target;
    TimePoint at {};
    /// One fingerprint for each request of this VM that was in flight there, as given to ServiceTargets::run().
    std::vector<std::string> fingerprints;
    /// Whether these were all requests in flight there, as far as this VM knows: the last report of the target counted
    /// no others.
    bool areAllKnown { false };
};

/// Is notified of the deaths of targets and the requests that may have caused them.
class TargetDeathListener
{
public:
    virtual ~TargetDeathListener() = default;

    /// Called once for each death, before any of the requests is retried. May be called from any thread; must not
    /// call ServiceTargets.
    virtual void targetDied(const TargetDeath &death) = 0;
};

} // namespace Sapphire
