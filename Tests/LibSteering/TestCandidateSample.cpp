#include <LibSteering/CandidateSample.h>

#include <doctest/doctest.h>

#include <set>

using namespace Sapphire;

namespace {

std::vector<RankedCandidate> candidates(std::size_t count, RandomSource &random)
{
    std::vector<RankedCandidate> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({ random.next(), i });
    }
    return result;
}

} // namespace

TEST_CASE("CandidateSample keeps all targets of a small service")
{
    // Guards against targets of a small deployment that get no work.
    RandomSource random(3);
    std::vector<RankedCandidate> all = candidates(CandidateSample::mostRanked + CandidateSample::mostRandom, random);
    CandidateSample::reduce(all, random);
    CHECK(all.size() == CandidateSample::mostRanked + CandidateSample::mostRandom);
}

TEST_CASE("CandidateSample keeps the highest ranks and reaches every target")
{
    // Guards against requests that miss the target that has their object in its cache, and against targets that get
    // only the objects that rank them highest while others are full.
    constexpr std::size_t count = 333;
    RandomSource random(5);
    const std::vector<RankedCandidate> all = candidates(count, random);
    std::set<std::uint64_t> ranks;
    for (const RankedCandidate &candidate : all) {
        ranks.insert(candidate.rank);
    }
    std::set<std::size_t> reached;
    for (int i = 0; i < 1'000; ++i) {
        std::vector<RankedCandidate> sample = all;
        CandidateSample::reduce(sample, random);
        REQUIRE(sample.size() == CandidateSample::mostRanked + CandidateSample::mostRandom);
        std::set<std::uint64_t> kept;
        for (const RankedCandidate &candidate : sample) {
            kept.insert(candidate.rank);
            reached.insert(candidate.position);
        }
        CHECK(kept.size() == sample.size());
        auto highest = ranks.rbegin();
        for (std::size_t rank = 0; rank < CandidateSample::mostRanked; ++rank, ++highest) {
            CHECK(kept.contains(*highest));
        }
    }
    CHECK(reached.size() == count);
}
