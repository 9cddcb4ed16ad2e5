#pragma once

#include <LibSteering/VmsByRegion.h>

namespace Sapphire {

struct HomeSetSettings
{
    /// A customer gets one more home VM per region for every so many requests a second in the fleet.
    double requestsPerSecondPerHome { 200 };
    /// The size shrinks only when the load is below this fraction of what the smaller set is meant for.
    double shrinkFraction { 0.6 };
    int most { 4 }; ///< Home VMs per region.
};

/// Chooses the VMs that hold a customer's shares, by rendezvous hashing. A smaller set of the same customer is
/// contained in a larger one, so that VMs that disagree about the size still ask VMs that hold a share.
class HomeSet
{
public:
    /// Returns up to `size` VMs of each region, ranked within their region, regions in order of their names.
    static std::vector<RendezvousCandidate> choose(const CustomerId &customer, const VmsByRegion &candidates, int size);
    /// Returns the number of home VMs per region for the load, given the current number.
    static int nextSize(int current, double requestsPerSecond, double burst, int regions,
                        const HomeSetSettings &settings);
};

} // namespace Sapphire
