#pragma once

#include <LibCore/RandomSource.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sapphire {

/// A target that could take a request.
struct RankedCandidate
{
    std::uint64_t rank { 0 }; ///< Rendezvous hash rank for the request's object.
    std::size_t position { 0 }; ///< Index among the targets of its region.
};

/// Selects the targets that are evaluated for a request, since a small VM can't evaluate hundreds of them for each one.
/// The sample consists of the targets with the highest ranks, which are the most likely to have the object in their
/// caches, and of some random ones, which provide capacity when those are full.
class CandidateSample
{
public:
    static constexpr std::size_t mostRanked = 24;
    static constexpr std::size_t mostRandom = 8;

    /// Reduces the candidates to the sample. Their order is not kept.
    static void reduce(std::vector<RankedCandidate> &candidates, RandomSource &random);
};

} // namespace Sapphire
