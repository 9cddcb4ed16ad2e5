#include <LibCore/RandomSource.h>
#include <LibSteering/RegionWeights.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Sapphire;

namespace {

constexpr double workSeconds = 0.25;
constexpr double targetLatencySeconds = 0.6;
constexpr int arrivals = 8'000;
constexpr int smallSlots = 6;
constexpr int largeSlots = 30;
// Demand in busy slots: of the small region's callers, of those who may be served there only, and of the large
// region's.
constexpr double smallDemand = 4;
constexpr double boundDemand = 3;
constexpr double largeDemand = 10;
const RegionId smallRegion("norte");
const RegionId largeRegion("cuyo");

/// The slots of a region, each with the time at which it becomes free. Requests are served in the order of arrival.
class RegionSlots
{
public:
    explicit RegionSlots(int slots) : m_freeAt(static_cast<std::size_t>(slots))
    {
    }

    /// Runs a request and returns when it ends, in seconds.
    double run(double arrivedAt)
    {
        const auto slot = std::min_element(m_freeAt.begin(), m_freeAt.end());
        *slot = std::max(*slot, arrivedAt) + workSeconds;
        return *slot;
    }

private:
    std::vector<double> m_freeAt;
};

/// Plays Poisson arrivals of all callers. Returns the fraction of the small region's callers and of those bound to it
/// that are answered on time.
double onTimeFraction(std::uint64_t seed, double knownBoundDemand)
{
    const TimePoint start { Milliseconds(1'000'000) };
    RegionWeights weights(smallRegion, {});
    weights.adjust({ { smallRegion, { smallSlots, smallDemand, knownBoundDemand } },
                     { largeRegion, { largeSlots, largeDemand, 0 } } },
                   start);
    const auto anyRegion = [](const RegionId &) {
        return true;
    };
    RandomSource random(seed);
    RegionSlots small(smallSlots);
    RegionSlots large(largeSlots);
    constexpr double demand = smallDemand + boundDemand + largeDemand;
    int requests = 0;
    int onTime = 0;
    double now = 0;
    for (int i = 0; i < arrivals; ++i) {
        now -= std::log(1 - random.unit()) * workSeconds / demand;
        const double caller = random.unit() * demand;
        if (caller >= smallDemand + boundDemand) {
            large.run(now);
            continue;
        }
        const bool isBound = caller >= smallDemand;
        const bool isServedHere = isBound || weights.choose(random.unit(), anyRegion) == smallRegion;
        const double end = isServedHere ? small.run(now) : large.run(now);
        ++requests;
        onTime += end - now <= targetLatencySeconds ? 1 : 0;
    }
    return static_cast<double>(onTime) / requests;
}

} // namespace

TEST_CASE("Callers of a small region are answered on time while another region's callers may be served only there")
{
    // Guards against requests that could run elsewhere but queue in a small region before those that can't leave it.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        const double onTime = onTimeFraction(seed, boundDemand);
        CHECK(onTime >= 0.99);
        CHECK(onTime > onTimeFraction(seed, 0));
    }
}
