#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibPlatform/VmDirectory.h>

#include <set>
#include <vector>

namespace Sapphire {

/// What this VM knows about one VM of the fleet, which may be itself.
struct RosterVm
{
    VmIncarnation process; ///< The incarnation is 0 as long as the VM is known from the platform's list only.
    Locality locality;
    VmEndpoints endpoints;
    bool isSuspect { false }; ///< No heartbeat for longer than the heartbeat timeout.
    bool isLeaving { false };
    bool isFresh { true }; ///< Whether it reported that it may serve keyed routes.
    /// The version that the VM has confirmed. For VMs of other availability zones, a lower bound.
    ConfigurationVersion confirmedVersion;
    /// Withdrawn keys that the VM is certain to know and that are not in its configuration yet.
    std::set<KeyId> knownWithdrawals;

    std::string callerAddress() const
    {
        return endpoints.address + ":" + std::to_string(endpoints.callerPort);
    }
};

/// The VMs of the fleet that this VM knows: those in the platform's list and those learnt from other VMs.
/// Safe to call from any thread.
class Roster
{
public:
    virtual ~Roster() = default;

    virtual std::vector<RosterVm> vms(TimePoint now) const = 0;
    /// Returns the VMs of the platform's list as last read; VMs that it no longer shows are left out.
    virtual std::set<VmId> listedVms() const = 0;
};

} // namespace Sapphire
