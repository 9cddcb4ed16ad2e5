#include <LibSteering/LookUpRanking.h>

#include <algorithm>

namespace Sapphire {

namespace {

std::size_t regionRank(const RegionId &region, const LookUpRequest &wish)
{
    if (!wish.region || region == *wish.region) {
        return 0;
    }
    const auto found = std::find(wish.fallbacks.begin(), wish.fallbacks.end(), region);
    return 1 + static_cast<std::size_t>(found - wish.fallbacks.begin());
}

} // namespace

std::vector<LookUpCandidate> rankForLookUp(std::vector<LookUpCandidate> candidates, const LookUpRequest &wish,
                                           RandomSource &random)
{
    for (std::size_t i = candidates.size(); i > 1; --i) {
        std::swap(candidates[i - 1], candidates[random.below(i)]);
    }
    const auto rankOf = [&](const LookUpCandidate &candidate) {
        const bool isOtherZone = wish.availabilityZone && candidate.place.availabilityZone != *wish.availabilityZone;
        return std::tuple(regionRank(candidate.place.region, wish), !candidate.isHomeOfCustomer, isOtherZone);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const LookUpCandidate &left, const LookUpCandidate &right) {
                         return rankOf(left) < rankOf(right);
                     });
    if (candidates.size() > wish.count) {
        candidates.resize(wish.count);
    }
    return candidates;
}

} // namespace Sapphire
