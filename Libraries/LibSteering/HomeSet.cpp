#include <LibSteering/HomeSet.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

std::vector<RendezvousCandidate> HomeSet::choose(const CustomerId &customer, const VmsByRegion &candidates, int size)
{
    return candidates.highestRanked(stableHash(customer.text()), static_cast<std::size_t>(std::max(1, size)));
}

int HomeSet::nextSize(int current, double requestsPerSecond, double burst, int regions, const HomeSetSettings &settings)
{
    const double perHome = settings.requestsPerSecondPerHome;
    const double enough = std::clamp(std::ceil(requestsPerSecond / perHome), 1.0, static_cast<double>(settings.most));
    const bool isShrinkDue = requestsPerSecond < perHome * (current - 1) * settings.shrinkFraction;
    int size = std::max(current, 1);
    if (enough > size || isShrinkDue) {
        size = static_cast<int>(enough);
    }
    // Each home needs a share that is worth a token.
    const double affordable = std::floor(burst / std::max(1, regions));
    return std::min(size, static_cast<int>(std::clamp(affordable, 1.0, static_cast<double>(settings.most))));
}

} // namespace Sapphire
