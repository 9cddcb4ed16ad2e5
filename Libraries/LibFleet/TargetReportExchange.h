#pragma once

#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// The target reports and region rooms of this VM as the exchange with other VMs sees them.
/// Safe to call from any thread.
class TargetReportExchange
{
public:
    virtual ~TargetReportExchange() = default;

    /// Returns the newest report of each target of the own region, whichever observer made it.
    virtual std::vector<TargetReport> reports(TimePoint now) const = 0;
    /// Takes a report of an observer in the own region; it may be older than the one held.
    virtual void takeReport(const TargetReport &report, TimePoint now) = 0;
    /// Returns the newest room held per region and service, the own region's included.
    virtual std::vector<RegionRoom> rooms(TimePoint now) const = 0;
    /// Takes the room that a region stated; it may be older than the one held.
    virtual void takeRoom(const RegionRoom &room, TimePoint now) = 0;
};

} // namespace Sapphire
