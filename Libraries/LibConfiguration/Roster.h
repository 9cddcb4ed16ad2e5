#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibPlatform/VmDirectory.h>

#include <set>
#include <vector>

namespace Sapphire {

/// What this VM knows of one VM of the fleet, itself included.
struct RosterVm
{
    VmIncarnation process; ///< The incarnation is 0 while only the platform's list names the VM.
    Locality place;
    VmEndpoints endpoints;
    bool isSuspect { false }; ///< Silent for longer than the suspicion limit.
    bool isLeaving { false };
    bool isFresh { true }; ///< Whether it said that it may serve keyed routes.
    /// The VM has at least this version in force. A lower bound for VMs of other availability zones.
    ConfigurationVersion confirmedVersion;
    /// Withdrawn keys that the VM surely knows beyond its configuration.
    std::set<KeyId> knownWithdrawals;

    std::string callerAddress() const
    {
        return endpoints.address + ":" + std::to_string(endpoints.callerPort);
    }
};

/// The VMs of the fleet as far as this VM knows: the union of the platform's list and what other VMs said.
/// Safe to call from any thread.
class Roster
{
public:
    virtual ~Roster() = default;

    virtual std::vector<RosterVm> vms(TimePoint now) const = 0;
    /// Returns the VMs that the platform's list showed last, and nothing of those that it dropped.
    virtual std::set<VmId> listedVms() const = 0;
};

} // namespace Sapphire
