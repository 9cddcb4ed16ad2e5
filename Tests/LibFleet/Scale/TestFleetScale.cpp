#include <LibFleet/FleetMeasurement.h>

#include <doctest/doctest.h>

#include <malloc.h>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 20261204;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

} // namespace

TEST_CASE("a fleet of 730 VMs in 20 zones stays within its traffic limit and spreads a change in time")
{
    // Guards against costs that grow with the number of VM pairs, against rings on which heartbeats arrive after the
    // heartbeat timeout, and against changes that reach a zone late.
    INFO("seed " << seed);
    const std::size_t heapBefore = heapBytes();
    FleetSimulation fleet(730, 5, 4, seed);
    reportTargets(fleet, 44, 5, 4);
    fleet.takeList();
    measure(fleet, "730 VMs in 20 zones");
    const std::size_t heap = (heapBytes() - heapBefore) / fleet.vms.size();
    MESSAGE("730 VMs in 20 zones: " << heap / 1024 << " KiB of heap a VM");
    CHECK(heap < 2U * 1024 * 1024);

    // A single lost response must not make a VM suspect.
    fleet.loss = 0.02;
    fleet.runFor(Milliseconds(2'000));
    CHECK(fleet.falseSuspicions() == 0);
}
