#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <set>

namespace Sapphire {

/// The configuration state that a VM reported of itself. A receiver learns that at `statedAt` the VM knew of no change
/// after `version`, but for the pending withdrawals.
struct Statement
{
    VmIncarnation process;
    RegionId region;
    TimePoint statedAt; ///< When it was made, on the receiver's clock; may be too early, but never too late.
    ConfigurationVersion version;
    /// Withdrawn keys that the VM knew and that were not in its configuration yet.
    std::set<KeyId> pendingWithdrawals;
};

} // namespace Sapphire
