#include <LibSteering/RegionSteering.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace Sapphire;

namespace {

const RegionId cuyo("cuyo");
const RegionId pampa("pampa");
const RegionId norte("norte");
const ServiceId status("status");

RegionSteeringSettings settings()
{
    return { cuyo, { pampa, norte }, Share(200'000), Milliseconds(5'000), Share(850'000) };
}

RegionUsage usage(const RegionId &region, int slots, int busy, TimePoint now)
{
    return { region, status, now, slots, busy };
}

} // namespace

TEST_CASE("RegionSteering never shifts more than the cap in one interval")
{
    // Guards against a failing region whose requests all reach another one at once.
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        RandomSource random(seed);
        RegionSteering steering(settings());
        TimePoint now { Milliseconds(1'000) };
        for (int interval = 0; interval < 40; ++interval) {
            const std::int64_t before[] { steering.weight(cuyo).value(), steering.weight(pampa).value(),
                                          steering.weight(norte).value() };
            RegionSteering::Observation observation;
            for (const RegionId &region : { cuyo, pampa, norte }) {
                const int slots = static_cast<int>(random.below(4)) * 10;
                if (random.below(5) > 0) {
                    observation.reportedUsages.push_back(usage(
                        region, slots,
                        slots == 0 ? 0 : static_cast<int>(random.below(static_cast<std::uint64_t>(slots) + 1)), now));
                }
            }
            observation.isOwnRegionSlow = random.below(2) == 0;
            steering.adjust(observation, now, random);
            for (int request = 0; request < 20; ++request) {
                const RegionId region = steering.choose(random).region;
                steering.finished(region, random.below(2) == 0);
            }
            const std::int64_t after[] { steering.weight(cuyo).value(), steering.weight(pampa).value(),
                                         steering.weight(norte).value() };
            std::int64_t moved = 0;
            for (int region = 0; region < 3; ++region) {
                moved += std::abs(after[region] - before[region]);
                CHECK(after[region] >= 0);
            }
            CHECK(moved / 2 <= 200'000);
            CHECK(after[0] + after[1] + after[2] == wholeShare.value());
            now += Milliseconds(random.below(2) == 0 ? 5'000 : 700);
        }
    }
}

TEST_CASE("RegionSteering shifts away from a region without targets and back without oscillating")
{
    RandomSource random(7);
    RegionSteering steering(settings());
    TimePoint now { Milliseconds(1'000) };
    const auto run = [&](int ownSlots, int intervals) {
        for (int i = 0; i < intervals; ++i) {
            now += Milliseconds(5'000);
            const RegionSteering::Observation observation {
                { usage(cuyo, ownSlots, 0, now), usage(pampa, 40, 10, now), usage(norte, 40, 20, now) }, 13, false
            };
            steering.adjust(observation, now, random);
        }
    };
    run(40, 2);
    CHECK(steering.weight(cuyo) == wholeShare);
    run(0, 8);
    CHECK(steering.weight(cuyo) <= Share(1));
    CHECK(steering.weight(pampa) > steering.weight(norte));
    run(40, 2);
    const Share half = steering.weight(cuyo);
    CHECK(half >= Share(399'000));
    CHECK(half <= Share(401'000));
    run(40, 4);
    CHECK(steering.weight(cuyo) >= Share(999'000));
}

TEST_CASE("RegionSteering keeps all VMs together within another region's free capacity")
{
    // Guards against VMs that each use the whole free capacity of a region.
    constexpr int vms = 13;
    RandomSource random(11);
    double total = 0;
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        int running = 0;
        for (int vm = 0; vm < vms; ++vm) {
            RegionSteering steering(settings());
            TimePoint now { Milliseconds(1'000) };
            for (int i = 0; i < 10; ++i) {
                now += Milliseconds(5'000);
                steering.adjust({ { usage(cuyo, 0, 0, now), usage(pampa, 40, 24, now) }, vms, false }, now, random);
            }
            for (int request = 0; request < 20; ++request) {
                running += steering.choose(random).region == pampa ? 1 : 0;
            }
        }
        CHECK(running <= vms);
        total += running;
    }
    // The limit is 85% of 40 slots, of which 24 are busy.
    CHECK(total / rounds <= 10.5);
    CHECK(total / rounds >= 8.0);
}
