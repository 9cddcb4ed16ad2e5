#include <LibSteering/CandidateSample.h>

#include <algorithm>

namespace Sapphire {

void CandidateSample::reduce(std::vector<RankedCandidate> &candidates, RandomSource &random)
{
    if (candidates.size() <= mostRanked + mostRandom) {
        return;
    }
    const auto ranked = candidates.begin() + static_cast<std::ptrdiff_t>(mostRanked);
    std::nth_element(candidates.begin(), ranked, candidates.end(),
                     [](const RankedCandidate &left, const RankedCandidate &right) {
                         return left.rank > right.rank;
                     });
    for (std::size_t i = mostRanked; i < mostRanked + mostRandom; ++i) {
        const std::size_t other = i + static_cast<std::size_t>(random.below(candidates.size() - i));
        std::swap(candidates[i], candidates[other]);
    }
    candidates.resize(mostRanked + mostRandom);
}

} // namespace Sapphire
