#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Freshness.h>
#include <LibConfiguration/Roster.h>

#include <deque>

namespace Sapphire {

/// Margin for the time between a freshness check and the use of its result.
inline constexpr Microseconds inForceMargin { 1'000'000 };
/// How long statements that a VM made before a confirmation may keep another VM fresh.
inline constexpr Microseconds inForceWait = freshnessLimit + inForceMargin;

/// Decides which changes are in force, that is, no VM can serve keyed routes by an older version any more.
/// A change is in force when the VMs that have not confirmed it cover less than a majority of the regions and
/// `inForceWait` has passed since the last confirmation. The wait is needed even if all known VMs have confirmed: a VM
/// that is no longer listed, such as one that the change retires, may still be fresh by their earlier statements.
/// Not safe to share between threads.
class InForceTracker
{
public:
    /// Updates the state of the VMs. The list must be complete: VMs that it lacks count as gone.
    void observe(const std::vector<RosterVm> &vms, TimePoint now);
    /// Returns the status of the change. Once in force, a change stays in force. `regions` are those of the newest
    /// configuration.
    InForceStatus status(ConfigurationVersion version, const std::map<RegionId, RegionRecord> &regions, TimePoint now);

private:
    struct TrackedProcess
    {
        RegionId region;
        ConfigurationVersion confirmed;
    };
    /// A VM that had confirmed `from` confirmed `upTo`, or disappeared, which counts as confirming every version. Until
    /// `at`, it may have made statements with versions from `from` up to, but not including, `upTo`.
    struct VersionAdvance
    {
        ConfigurationVersion from;
        ConfigurationVersion upTo;
        TimePoint at;
    };

    void recordAdvance(ConfigurationVersion from, ConfigurationVersion upTo, TimePoint now);
    bool isWaitOver(ConfigurationVersion version, TimePoint now) const;

    std::map<VmIncarnation, TrackedProcess> m_processes;
    std::deque<VersionAdvance> m_advances;
    ConfigurationVersion m_inForce;
};

} // namespace Sapphire
