#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <set>

namespace Sapphire {

/// What a VM said of itself at a moment. A VM that hears it knows that the configuration was no newer there.
struct Statement
{
    VmIncarnation process;
    RegionId region;
    TimePoint statedAt; ///< On the receiver's clock, never later than the true moment.
    ConfigurationVersion version;
    /// Withdrawn keys that the stating VM knew and that are not yet in its configuration.
    std::set<KeyId> pendingWithdrawals;
};

} // namespace Sapphire
