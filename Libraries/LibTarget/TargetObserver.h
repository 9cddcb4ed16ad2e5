#pragma once

#include <LibConfiguration/Roster.h>
#include <LibTarget/ServiceTargets.h>
#include <LibTarget/TargetProbe.h>

#include <map>

namespace Sapphire {

struct TargetObserverSettings
{
    VmId ownVm;
    RegionId region;
    Milliseconds timeout { 500 }; ///< For the health and load requests to one target together.
};

/// Queries the health and load endpoints of those targets of the region that this VM observes. Two VMs observe each
/// target. Must be used by one thread.
class TargetObserver
{
public:
    /// The references must outlive the observer.
    TargetObserver(TargetObserverSettings settings, const Roster &roster, ServiceTargets &targets, const Clock &clock);

    /// Probes each assigned target once, all at the same time, and passes the reports to ServiceTargets. Takes no
    /// longer than the timeout, however many targets are silent. Must be called once a second.
    void tick(TimePoint now);

    /// Returns whether the VM is one of the two that rank first for the target in rendezvous hashing.
    static bool isObserver(const TargetId &target, const VmId &vm, const std::vector<VmId> &vmsOfRegion);

private:
    std::vector<VmId> observingVms(TimePoint now) const;
    void assign(TimePoint now);
    void runProbes(TimePoint now);
    void publish();

    TargetObserverSettings m_settings;
    const Roster &m_roster;
    ServiceTargets &m_targets;
    const Clock &m_clock;
    std::map<TargetId, TargetProbe> m_probes;
    std::map<TargetId, TargetHealth> m_health;
};

} // namespace Sapphire
