#pragma once

#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// Gives the gossip exchange access to this VM's target reports and to the slot usage of regions: for each service, the
/// number of slots and how many of them are busy (`RegionRoom` on the wire). Safe to call from any thread.
class TargetReportExchange
{
public:
    virtual ~TargetReportExchange() = default;

    /// Returns the newest report of each target of the own region, whichever observer made it.
    virtual std::vector<TargetReport> reports(TimePoint now) const = 0;
    /// Takes a report of an observer in the own region; it may be older than the one that this VM has.
    virtual void takeReport(const TargetReport &report, TimePoint now) = 0;
    /// Returns the newest slot usage for each region and service, including the own region.
    virtual std::vector<RegionUsage> regionUsages(TimePoint now) const = 0;
    /// Takes the slot usage that a VM of a region stated; it may be older than the one that this VM has.
    virtual void takeUsage(const RegionUsage &usage, TimePoint now) = 0;
};

} // namespace Sapphire
