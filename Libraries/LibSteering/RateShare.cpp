#include <LibSteering/RateShare.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr double tiny = 1e-9;
// The part of a region's requests that counts as running in each other region, though they may run anywhere.
constexpr double movedFraction = 0.1;
// This part of a region's rate is divided evenly among its VMs, so that none is left without any.
constexpr double evenFraction = 0.25;

/// Returns the demand that targets of a region get from callers of another or the same region.
double flow(const RegionId &from, const Demand &demand, const RegionId &to)
{
    const auto bound = demand.bound.find(to);
    return demand.free * (from == to ? 1 : movedFraction) + (bound == demand.bound.end() ? 0 : bound->second);
}

} // namespace

double RateShare::ofTarget(const RegionId &targetRegion, const VmDemand &own, const std::map<RegionId, Demand> &demands,
                           const VmsByRegion &vms)
{
    if (vms.isEmpty()) {
        return 0;
    }
    double sum = 0;
    double ownRegion = 0;
    for (const auto &[region, demand] : demands) {
        const double part = flow(region, demand, targetRegion);
        sum += part;
        ownRegion += region == own.region ? part : 0;
    }
    const double evenShare = 1.0 / static_cast<double>(vms.vmCount());
    if (sum < tiny || ownRegion < tiny) {
        return evenShare;
    }
    const double regionShare = ownRegion / sum;
    const double evenInRegion = 1.0 / static_cast<double>(std::max<std::size_t>(1, vms.vmCount(own.region)));
    const double byDemand = std::min(1.0, flow(own.region, own.demand, targetRegion) / ownRegion);
    return regionShare * (evenFraction * evenInRegion + (1 - evenFraction) * byDemand);
}

} // namespace Sapphire
