#include <LibSteering/HomeSet.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sapphire;

namespace {

std::vector<RendezvousCandidate> fleet(int vms)
{
    std::vector<RendezvousCandidate> candidates;
    candidates.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i) {
        candidates.push_back({ VmId("vm-" + std::to_string(i)), RegionId("region-" + std::to_string(i % 3)) });
    }
    return candidates;
}

} // namespace

TEST_CASE("a smaller home set is part of a larger one")
{
    // Guards against VMs that disagree about the size and ask VMs without a share for loans.
    const auto small = HomeSet::choose(CustomerId("c"), VmsByRegion(fleet(30)), 1);
    const auto large = HomeSet::choose(CustomerId("c"), VmsByRegion(fleet(30)), 3);
    CHECK(small.size() == 3);
    CHECK(large.size() == 9);
    for (const RendezvousCandidate &home : small) {
        CHECK(std::find(large.begin(), large.end(), home) != large.end());
    }
}

TEST_CASE("the loss of a VM replaces only that VM in the home sets")
{
    // Guards against shares that move between VMs whenever a VM joins or leaves.
    const std::vector<RendezvousCandidate> all = fleet(30);
    for (int customer = 0; customer < 50; ++customer) {
        const CustomerId id("customer-" + std::to_string(customer));
        const auto before = HomeSet::choose(id, VmsByRegion(all), 2);
        std::vector<RendezvousCandidate> rest = all;
        std::erase(rest, before.front());
        const auto after = HomeSet::choose(id, VmsByRegion(rest), 2);
        const auto kept = std::count_if(before.begin(), before.end(), [&after](const RendezvousCandidate &home) {
            return std::find(after.begin(), after.end(), home) != after.end();
        });
        CHECK(kept == 5);
    }
}

TEST_CASE("the size follows the load with a hysteresis band")
{
    // Guards against a size that changes back and forth at a threshold.
    const HomeSetSettings settings { .requestsPerSecondPerHome = 100 };
    CHECK(HomeSet::nextSize(1, 99, 1000, 3, settings) == 1);
    CHECK(HomeSet::nextSize(1, 101, 1000, 3, settings) == 2);
    CHECK(HomeSet::nextSize(2, 90, 1000, 3, settings) == 2);
    CHECK(HomeSet::nextSize(2, 59, 1000, 3, settings) == 1);
    CHECK(HomeSet::nextSize(4, 10'000, 1000, 3, settings) == 4);
    // A small burst can't be divided among many home VMs.
    CHECK(HomeSet::nextSize(1, 10'000, 6, 3, settings) == 2);
    CHECK(HomeSet::nextSize(1, 10'000, 1, 3, settings) == 1);
}
