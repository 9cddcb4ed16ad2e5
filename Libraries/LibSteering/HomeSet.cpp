#include <LibSteering/HomeSet.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace Sapphire {

std::vector<HomeCandidate> HomeSet::choose(const CustomerId &customer, const std::vector<HomeCandidate> &candidates,
                                           int size)
{
    struct Ranked
    {
        std::uint64_t rank;
        HomeCandidate candidate;
    };
    std::map<RegionId, std::vector<Ranked>> regions;
    for (const HomeCandidate &candidate : candidates) {
        regions[candidate.region].push_back({ rendezvousRank(customer.text(), candidate.vm.text()), candidate });
    }
    std::vector<HomeCandidate> chosen;
    for (auto &[region, ranked] : regions) {
        std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
            return left.rank != right.rank ? left.rank > right.rank : left.candidate.vm < right.candidate.vm;
        });
        const std::size_t count = std::min(ranked.size(), static_cast<std::size_t>(std::max(1, size)));
        for (std::size_t i = 0; i < count; ++i) {
            chosen.push_back(ranked[i].candidate);
        }
    }
    return chosen;
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
