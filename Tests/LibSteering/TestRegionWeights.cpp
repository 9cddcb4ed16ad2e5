#include <LibCore/RandomSource.h>
#include <LibSteering/RatioBudget.h>
#include <LibSteering/RegionWeights.h>

#include <doctest/doctest.h>

#include <cmath>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
const RegionId cuyo("cuyo");
const RegionId pampa("pampa");
const RegionId norte("norte");

std::map<RegionId, RegionLoad> regions(double cuyoSlots, double cuyoDemand, double otherDemand)
{
    return { { cuyo, { cuyoSlots, cuyoDemand } }, { pampa, { 54, otherDemand } }, { norte, { 54, otherDemand } } };
}

bool anyRegion(const RegionId &)
{
    return true;
}

/// Returns the fraction of the requests that change their region.
double shifted(const std::map<RegionId, double> &before, const RegionWeights &after)
{
    double sum = 0;
    for (const auto &[region, weight] : before) {
        sum += std::max(0.0, after.weight(region) - weight);
    }
    return sum;
}

std::map<RegionId, double> weightsOf(const RegionWeights &weights)
{
    return { { cuyo, weights.weight(cuyo) }, { pampa, weights.weight(pampa) }, { norte, weights.weight(norte) } };
}

} // namespace

TEST_CASE("RegionWeights keeps the requests of a region that has capacity")
{
    // Guards against requests that are served in another region without need.
    RegionWeights weights(pampa, {});
    weights.adjust(regions(18, 9, 18), start);
    CHECK(weights.weight(pampa) == doctest::Approx(1));
}

TEST_CASE("RegionWeights sends what a small region can't take to those with capacity")
{
    // Guards against a region with few targets whose callers are late while others have capacity.
    RegionWeights weights(cuyo, {});
    weights.adjust(regions(18, 25, 15), start);
    CHECK(weights.weight(cuyo) < 0.6);
    CHECK(weights.weight(cuyo) > 0.3);
    CHECK(weights.weight(pampa) == doctest::Approx(weights.weight(norte)));
}

TEST_CASE("RegionWeights makes free requests leave a region that bound ones fill")
{
    // Guards against a customer that may run in one small region only, whose callers are late there while requests that
    // could run elsewhere keep their share of its slots.
    RegionWeights weights(cuyo, {});
    std::map<RegionId, RegionLoad> loads = regions(18, 9, 18);
    loads[cuyo].boundDemand = 9;
    weights.adjust(loads, start);
    CHECK(weights.weight(cuyo) < 0.3);
    loads[cuyo].boundDemand = 30;
    RegionWeights full(cuyo, {});
    full.adjust(loads, start);
    CHECK(full.weight(cuyo) == doctest::Approx(0));
}

TEST_CASE("RegionWeights sends nothing to a region that bound requests fill")
{
    // Guards against spillover from another region into one whose own requests can't leave it.
    RegionWeights weights(pampa, {});
    std::map<RegionId, RegionLoad> loads = regions(18, 2, 18);
    loads[pampa].demand = 40;
    loads[cuyo].boundDemand = 16;
    weights.adjust(loads, start);
    CHECK(weights.weight(cuyo) == doctest::Approx(0));
    CHECK(weights.weight(norte) > 0.1);
}

TEST_CASE("RegionWeights starts with what the slots ask for before any demand is known")
{
    // Guards against a first time window in which all requests stay in the region, and a second one in which a part of
    // them leaves it at once.
    RegionWeights weights(cuyo, {});
    weights.adjust(regions(18, 0, 0), start);
    CHECK(weights.weight(cuyo) < 0.6);
}

TEST_CASE("RegionWeights never shifts more than the cap allows while demand jumps")
{
    // Guards against a region whose requests change their region at once.
    RandomSource random(11);
    const RegionWeightsSettings settings;
    RegionWeights weights(cuyo, settings);
    TimePoint now = start;
    weights.adjust(regions(18, 20, 20), now);
    for (int i = 0; i < 400; ++i) {
        const std::map<RegionId, double> before = weightsOf(weights);
        // Two seconds in steps of 250 ms, the interval at which RequestDispatcher adjusts the weights.
        for (int step = 0; step < 8; ++step) {
            now += Milliseconds(250);
            weights.adjust(regions(18, random.unit() * 60, random.unit() * 60), now);
        }
        CHECK(shifted(before, weights) <= 2 * settings.shiftPerSecond + 1e-9);
        CHECK(weights.weight(cuyo) + weights.weight(pampa) + weights.weight(norte) == doctest::Approx(1));
    }
}

TEST_CASE("RegionWeights leaves a region without slots at once")
{
    // Guards against requests that are refused because a lost region still has a weight.
    RegionWeights weights(cuyo, {});
    weights.adjust(regions(18, 10, 10), start);
    weights.adjust(regions(0, 10, 10), start + Milliseconds(250));
    CHECK(weights.weight(cuyo) == 0);
    CHECK(weights.choose(0.0, anyRegion) != cuyo);
}

TEST_CASE("RegionWeights keeps most objects in their region while the weights move little")
{
    // Guards against cached objects that change their region with each small change of the weights.
    RegionWeights weights(cuyo, {});
    weights.adjust(regions(18, 25, 15), start);
    std::map<int, RegionId> before;
    constexpr int objects = 1'000;
    for (int i = 0; i < objects; ++i) {
        before[i] = weights.choose(static_cast<double>(i) / objects, anyRegion);
    }
    const std::map<RegionId, double> weightsBefore = weightsOf(weights);
    weights.adjust(regions(18, 40, 15), start + Milliseconds(1'000));
    int changed = 0;
    for (int i = 0; i < objects; ++i) {
        changed += weights.choose(static_cast<double>(i) / objects, anyRegion) != before[i] ? 1 : 0;
    }
    CHECK(changed <= 2 * objects * shifted(weightsBefore, weights) + 2);
}

TEST_CASE("RegionWeights chooses among the regions that are allowed")
{
    // Guards against a request that is served outside the allowed regions.
    RegionWeights weights(cuyo, {});
    weights.adjust(regions(18, 25, 15), start);
    for (int i = 0; i < 100; ++i) {
        CHECK(weights.choose(i / 100.0, [](const RegionId &region) {
            return region == norte;
        }) == norte);
    }
    CHECK(weights
              .choose(0.5,
                      [](const RegionId &) {
                          return false;
                      })
              .isEmpty());
}

TEST_CASE("RatioBudget lets a small fraction of the requests leave their region in any window")
{
    // Guards against a peak that makes a region's requests change their region at once.
    RatioBudget budget({ 0.05, 0, Milliseconds(2'000) });
    int moves = 0;
    TimePoint now = start;
    for (int i = 0; i < 1'000; ++i) {
        now += Milliseconds(10);
        budget.noteRequest(now);
        if (budget.isAllowed(now)) {
            budget.noteEvent(now);
            ++moves;
        }
    }
    CHECK(moves <= 0.05 * 1'000 + 1);
    CHECK(moves >= 0.05 * 1'000 - 11);
}
