#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <functional>
#include <map>
#include <vector>

namespace Sapphire {

struct RegionWeightsSettings
{
    /// The own region takes its own requests up to this utilization of its slots, even if others have more free
    /// capacity.
    double localUtilization { 0.45 };
    /// Fraction of the requests whose region may change in a second because the weights change.
    double shiftPerSecond { 0.03 };
    /// Below this utilization of all slots the demand says nothing, and all regions count as having the same demand.
    double leastUtilization { 0.1 };
    double assumedUtilization { 0.45 }; ///< Of all slots, in that case.
};

/// Slots of a service in a region, and the demand that they have to serve, in busy slots.
struct RegionLoad
{
    double slots { 0 };
    double demand { 0 }; ///< Of the region's callers, without requests that may run in one region only.
    double boundDemand { 0 }; ///< Of the callers of all regions whose requests may run in this region only.
};

/// Divides the requests of one region's callers for one service among the regions by weight, for the case that they
/// need more than the region's targets can take while others have capacity. Requests that may run in one region only
/// come first there, and the others leave it if they have to. The weights move slowly, and all VMs of a
/// region that know the same compute the same ones, so that the region's requests as a whole move slowly, too.
class RegionWeights
{
public:
    RegionWeights(RegionId own, RegionWeightsSettings settings);

    /// Moves the weights towards those that the load of the regions asks for; the first call sets them at once. A
    /// region that has lost its slots loses its weight at once.
    void adjust(const std::map<RegionId, RegionLoad> &regions, TimePoint now);
    /// Returns the region at a position in [0, 1) among those that are allowed. Positions near each other tend to lie
    /// in the same region, and keep it while the weights move little. Returns an empty id if none is allowed.
    RegionId choose(double position, const std::function<bool(const RegionId &)> &isAllowed) const;
    double weight(const RegionId &region) const;

private:
    std::map<RegionId, RegionLoad> withAssumedDemand(std::map<RegionId, RegionLoad> regions) const;
    std::map<RegionId, double> wantedWeights(const std::map<RegionId, RegionLoad> &regions) const;
    void moveTowards(const std::map<RegionId, double> &wanted, double largestShift);

    RegionId m_own;
    RegionWeightsSettings m_settings;
    std::map<RegionId, double> m_weights; ///< They add up to 1.
    TimePoint m_adjustedAt {};
};

} // namespace Sapphire
