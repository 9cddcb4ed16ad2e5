#include <LibSteering/LookUpRanking.h>

#include <algorithm>

namespace Sapphire {

namespace {

std::size_t regionRank(const RegionId &region, const LookUpRequest &request)
{
    if (!request.region || region == *request.region) {
        return 0;
    }
    const auto found = std::find(request.fallbacks.begin(), request.fallbacks.end(), region);
    return 1 + static_cast<std::size_t>(found - request.fallbacks.begin());
}

} // namespace

std::vector<LookUpCandidate> rankForLookUp(std::vector<LookUpCandidate> candidates, const LookUpRequest &request,
                                           RandomSource &random)
{
    for (std::size_t i = candidates.size(); i > 1; --i) {
        std::swap(candidates[i - 1], candidates[random.below(i)]);
    }
    const auto rankOf = [&](const LookUpCandidate &candidate) {
        const bool isOtherZone =
            request.availabilityZone && candidate.locality.availabilityZone != *request.availabilityZone;
        return std::tuple(regionRank(candidate.locality.region, request), !candidate.isHomeOfCustomer, isOtherZone);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const LookUpCandidate &left, const LookUpCandidate &right) {
                         return rankOf(left) < rankOf(right);
                     });
    if (candidates.size() > request.count) {
        candidates.resize(request.count);
    }
    return candidates;
}

} // namespace Sapphire
