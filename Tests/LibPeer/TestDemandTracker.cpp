#include <LibPeer/DemandCodec.h>
#include <LibPeer/DemandTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
const ServiceId status("status");
const RegionId cuyo("cuyo");
const RegionId norte("norte");
const RegionId pampa("pampa");

Demand demandOf(double free, const RegionId &region, double bound)
{
    return { free, { { region, bound } } };
}

} // namespace

TEST_CASE("DemandTracker adds up free and bound demand of the VMs of a region")
{
    // Guards against a region that looks free to others although requests that may run nowhere else fill it.
    DemandTracker tracker(cuyo);
    tracker.setOwn({ { status, demandOf(1, norte, 0.5) } });
    tracker.takeVm(VmId("a"), { { status, demandOf(2, norte, 1.5) } }, Deadline::after(start, Milliseconds(1'000)));
    tracker.takeVm(VmId("b"), { { status, demandOf(4, pampa, 3) } }, Deadline::after(start, Milliseconds(100)));
    tracker.takeRegion(pampa, { { status, demandOf(5, norte, 2) } }, start);
    const TimePoint now = start + Milliseconds(500);
    const Demand own = tracker.ownRegion(now).at(status);
    CHECK(own.free == doctest::Approx(3));
    CHECK(own.bound.at(norte) == doctest::Approx(2));
    CHECK(!own.bound.contains(pampa));
    const std::map<RegionId, Demand> all = tracker.demandFor(status, now);
    CHECK(all.at(cuyo).bound.at(norte) == doctest::Approx(2));
    CHECK(all.at(pampa).bound.at(norte) == doctest::Approx(2));
    CHECK(all.at(pampa).free == doctest::Approx(5));
}

TEST_CASE("Demands keep their bound part on the wire")
{
    // Guards against bound demand that is lost between VMs, or counted twice.
    WireDemands wire;
    writeDemands({ { status, demandOf(1.25, norte, 0.75) } }, wire);
    const Demand read = readDemands(wire).at(status);
    CHECK(read.free == doctest::Approx(1.25));
    CHECK(read.bound.at(norte) == doctest::Approx(0.75));
    // VMs of the release before read the sum.
    CHECK(wire.Get(0).offered_centislots() == 200);
}

TEST_CASE("Demands of a VM of the release before are free")
{
    // Guards against demand of older VMs that disappears while both releases run.
    WireDemands wire;
    wire.Add()->set_service("status");
    wire.Mutable(0)->set_offered_centislots(150);
    CHECK(readDemands(wire).at(status).free == doctest::Approx(1.5));
    // A bound part above the whole must not become a negative demand.
    wire.Mutable(0)->add_bound()->set_centislots(1'000);
    CHECK(readDemands(wire).at(status).free == 0);
}
