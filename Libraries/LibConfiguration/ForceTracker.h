#pragma once

#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Freshness.h>
#include <LibConfiguration/Roster.h>

#include <deque>

namespace Sapphire {

/// Allowance for the time between a check of freshness and the use of its result.
inline constexpr Microseconds forceMargin { 1'000'000 };
/// How long the statements that preceded a confirmation may keep another VM fresh.
inline constexpr Microseconds forceWait = freshnessLimit + forceMargin;

/// Tells which changes are in force: no VM can serve keyed routes by an older version any more.
/// A change is in force when the VMs that have not confirmed it don't span a majority of the regions, and the wait has
/// passed since the last confirmation. The wait applies also if all known VMs have confirmed, because a VM that the
/// list has dropped, such as one that the change retires, may still be fresh by their earlier statements.
/// Not safe to share between threads.
class ForceTracker
{
public:
    /// Takes the present knowledge of all VMs; those that are missing are gone.
    void observe(const std::vector<RosterVm> &vms, TimePoint now);
    /// Once in force, a change stays so. `regions` are those of the newest configuration.
    InForceStatus status(ConfigurationVersion version, const std::map<RegionId, RegionRecord> &regions, TimePoint now);

private:
    struct Watched
    {
        RegionId region;
        ConfigurationVersion confirmed;
    };
    /// A moment until which statements of a VM with less than `upTo` and at least `from` may have been made.
    struct Step
    {
        ConfigurationVersion from;
        ConfigurationVersion upTo;
        TimePoint at;
    };

    void addStep(ConfigurationVersion from, ConfigurationVersion upTo, TimePoint now);
    bool isWaitOver(ConfigurationVersion version, TimePoint now) const;

    std::map<VmIncarnation, Watched> m_watched;
    std::deque<Step> m_steps;
    ConfigurationVersion m_inForce;
};

} // namespace Sapphire
