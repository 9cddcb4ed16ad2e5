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

/// Returns by how much the shares differ, as a part of the requests.
double moved(const std::map<RegionId, double> &before, const RegionWeights &after)
{
    double sum = 0;
    for (const auto &[region, share] : before) {
        sum += std::max(0.0, after.share(region) - share);
    }
    return sum;
}

std::map<RegionId, double> sharesOf(const RegionWeights &shares)
{
    return { { cuyo, shares.share(cuyo) }, { pampa, shares.share(pampa) }, { norte, shares.share(norte) } };
}

} // namespace

TEST_CASE("RegionShares keeps the requests of a region that has room")
{
    // Guards against answers that cross regions without need.
    RegionWeights shares(pampa, {});
    shares.adjust(regions(18, 9, 18), start);
    CHECK(shares.share(pampa) == doctest::Approx(1));
}

TEST_CASE("RegionShares sends what a small region can't take to those with room")
{
    // Guards against a region with few targets whose callers are late while others have room.
    RegionWeights shares(cuyo, {});
    shares.adjust(regions(18, 25, 15), start);
    CHECK(shares.share(cuyo) < 0.6);
    CHECK(shares.share(cuyo) > 0.3);
    CHECK(shares.share(pampa) == doctest::Approx(shares.share(norte)));
}

TEST_CASE("RegionShares starts with what the slots ask for before any demand is known")
{
    // Guards against a first window in which all requests stay and a second in which a part leaves at once.
    RegionWeights shares(cuyo, {});
    shares.adjust(regions(18, 0, 0), start);
    CHECK(shares.share(cuyo) < 0.6);
}

TEST_CASE("RegionShares never moves more than the cap allows while demand jumps")
{
    // Guards against a region whose requests change their region at once.
    RandomSource random(11);
    const RegionWeightsSettings settings;
    RegionWeights shares(cuyo, settings);
    TimePoint now = start;
    shares.adjust(regions(18, 20, 20), now);
    for (int i = 0; i < 400; ++i) {
        const std::map<RegionId, double> before = sharesOf(shares);
        // Two seconds in steps of a quarter, as the dispatcher makes them.
        for (int step = 0; step < 8; ++step) {
            now += Milliseconds(250);
            shares.adjust(regions(18, random.unit() * 60, random.unit() * 60), now);
        }
        CHECK(moved(before, shares) <= 2 * settings.movePerSecond + 1e-9);
        CHECK(shares.share(cuyo) + shares.share(pampa) + shares.share(norte) == doctest::Approx(1));
    }
}

TEST_CASE("RegionShares leaves a region without slots at once")
{
    // Guards against requests that are refused for a lost region's share.
    RegionWeights shares(cuyo, {});
    shares.adjust(regions(18, 10, 10), start);
    shares.adjust(regions(0, 10, 10), start + Milliseconds(250));
    CHECK(shares.share(cuyo) == 0);
    CHECK(shares.choose(0.0, anyRegion) != cuyo);
}

TEST_CASE("RegionShares keeps most objects in their region while the shares move little")
{
    // Guards against caches that are lost with each small change of the shares.
    RegionWeights shares(cuyo, {});
    shares.adjust(regions(18, 25, 15), start);
    std::map<int, RegionId> before;
    constexpr int objects = 1'000;
    for (int i = 0; i < objects; ++i) {
        before[i] = shares.choose(static_cast<double>(i) / objects, anyRegion);
    }
    const std::map<RegionId, double> sharesBefore = sharesOf(shares);
    shares.adjust(regions(18, 40, 15), start + Milliseconds(1'000));
    int changed = 0;
    for (int i = 0; i < objects; ++i) {
        changed += shares.choose(static_cast<double>(i) / objects, anyRegion) != before[i] ? 1 : 0;
    }
    CHECK(changed <= 2 * objects * moved(sharesBefore, shares) + 2);
}

TEST_CASE("RegionShares chooses among the regions that are allowed")
{
    // Guards against a request that is served outside its home regions.
    RegionWeights shares(cuyo, {});
    shares.adjust(regions(18, 25, 15), start);
    for (int i = 0; i < 100; ++i) {
        CHECK(shares.choose(i / 100.0, [](const RegionId &region) {
            return region == norte;
        }) == norte);
    }
    CHECK(shares
              .choose(0.5,
                      [](const RegionId &) {
                          return false;
                      })
              .isEmpty());
}

TEST_CASE("RatioBudget lets a small part of the requests leave their region in any window")
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
