#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <functional>
#include <map>
#include <vector>

namespace Sapphire {

struct RegionWeightsSettings
{
    /// The own region takes its own requests up to this part of its slots, even if others have more room.
    double localUse { 0.55 };
    /// The part of the requests that may change their region in a second by the shares.
    double movePerSecond { 0.03 };
    /// Below this part of all slots the demand says nothing, and all regions count as asking for the same.
    double leastUse { 0.1 };
    double assumedUse { 0.45 };
};

/// Slots of a service in a region, and the requests of the region's callers in busy slots.
struct RegionLoad
{
    double slots { 0 };
    double demand { 0 };
};

/// Divides the requests of one region's callers for one service among the regions. Answers a region whose callers ask
/// for more than its targets can take while others have room. The shares move slowly, and all VMs of a region that know
/// the same compute the same, so that the region's requests as a whole move slowly, too.
class RegionWeights
{
public:
    RegionWeights(RegionId own, RegionWeightsSettings settings);

    /// Moves the shares towards what the state of the regions asks for; at the first call to it at once. A region that
    /// has lost its slots loses its share at once.
    void adjust(const std::map<RegionId, RegionLoad> &regions, TimePoint now);
    /// Returns the region at a position in [0, 1) among those that are allowed. Positions near each other tend to lie
    /// in the same region, and keep it while the shares move little. Returns an empty id if none is allowed.
    RegionId choose(double position, const std::function<bool(const RegionId &)> &isAllowed) const;
    double share(const RegionId &region) const;

private:
    std::map<RegionId, RegionLoad> withAssumedDemand(std::map<RegionId, RegionLoad> regions) const;
    std::map<RegionId, double> wanted(const std::map<RegionId, RegionLoad> &regions) const;
    void moveTowards(const std::map<RegionId, double> &wanted, double most);

    RegionId m_own;
    RegionWeightsSettings m_settings;
    std::map<RegionId, double> m_shares; ///< They add up to 1.
    TimePoint m_adjustedAt {};
};

} // namespace Sapphire
