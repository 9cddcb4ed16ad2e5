#pragma once

#include <LibCore/RandomSource.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Sapphire {

/// A target that could take a request.
struct RankedCandidate
{
    std::uint64_t rank { 0 }; ///< For the request's object, by rendezvous hashing.
    std::size_t position { 0 }; ///< Among the targets of its region.
};

/// Decides which of many targets are weighed for a request. Answers services of hundreds of targets on small VMs, which
/// can't weigh all of them for each request: those where the object usually is come first, and some others, taken at
/// random, find the room that these lack.
class CandidateSample
{
public:
    static constexpr std::size_t mostRanked = 24;
    static constexpr std::size_t mostRandom = 8;

    /// Reduces the candidates to the sample. The order is lost.
    static void reduce(std::vector<RankedCandidate> &candidates, RandomSource &random);
};

} // namespace Sapphire
