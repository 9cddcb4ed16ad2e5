#include <LibSteering/RateShare.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const RegionId cuyo("cuyo");
const RegionId norte("norte");

/// Two VMs in each of two regions.
VmsByRegion fourVms()
{
    return VmsByRegion({ { VmId("c1"), cuyo }, { VmId("c2"), cuyo }, { VmId("n1"), norte }, { VmId("n2"), norte } });
}

Demand operator*(const Demand &demand, double factor)
{
    Demand scaled { demand.free * factor, {} };
    for (const auto &[region, slots] : demand.bound) {
        scaled.bound[region] = slots * factor;
    }
    return scaled;
}

} // namespace

TEST_CASE("The parts of all VMs of a target's rate add up to it")
{
    // Guards against VMs that together send more than the target takes, or leave much of it unused.
    const std::map<RegionId, Demand> demands { { cuyo, { 10, { { norte, 4 } } } }, { norte, { 6, { { cuyo, 1 } } } } };
    for (const RegionId &target : { cuyo, norte }) {
        double sum = 0;
        for (const RegionId &region : { cuyo, norte }) {
            for (const double fraction : { 0.2, 0.8 }) {
                sum += RateShare::ofTarget(target, { region, demands.at(region) * fraction }, demands, fourVms());
            }
        }
        CHECK(sum == doctest::Approx(1));
    }
}

TEST_CASE("A VM whose callers need a target has the larger part of its rate")
{
    // Guards against a limited target whose rate lies with VMs of regions that hardly use it, and against callers bound
    // to a region whom the VMs of another region can't send there.
    const std::map<RegionId, Demand> apart { { cuyo, { 10, {} } }, { norte, { 10, {} } } };
    const double inRegion = RateShare::ofTarget(cuyo, { cuyo, { 5, {} } }, apart, fourVms());
    const double elsewhere = RateShare::ofTarget(cuyo, { norte, { 5, {} } }, apart, fourVms());
    CHECK(inRegion > 5 * elsewhere);
    CHECK(elsewhere > 0);
    const std::map<RegionId, Demand> bound { { cuyo, { 10, {} } }, { norte, { 0, { { cuyo, 10 } } } } };
    CHECK(RateShare::ofTarget(cuyo, { norte, { 0, { { cuyo, 5 } } } }, bound, fourVms()) == doctest::Approx(0.25));
    CHECK(RateShare::ofTarget(cuyo, { cuyo, { 8, {} } }, bound, fourVms())
          > RateShare::ofTarget(cuyo, { cuyo, { 2, {} } }, bound, fourVms()));
}

TEST_CASE("Without known demand, each VM has an even part of a target's rate")
{
    // Guards against a division by zero before the first report of demand has come.
    CHECK(RateShare::ofTarget(cuyo, { cuyo, {} }, {}, fourVms()) == doctest::Approx(0.25));
    CHECK(RateShare::ofTarget(cuyo, { cuyo, { 3, {} } }, {}, VmsByRegion()) == 0);
}

TEST_CASE("A VM that doesn't know the VMs yet has no part of a target's rate")
{
    // Guards against VMs that start during an outage of the store and each send a limited target its whole rate,
    // because they know the target before the VMs that share its rate.
    const std::map<RegionId, Demand> ownOnly { { cuyo, { 10, {} } } };
    CHECK(RateShare::ofTarget(cuyo, { cuyo, { 10, {} } }, ownOnly, VmsByRegion()) == 0);
    CHECK(RateShare::ofTarget(norte, { cuyo, { 10, {} } }, ownOnly, VmsByRegion()) == 0);
    CHECK(RateShare::ofTarget(cuyo, { cuyo, {} }, {}, VmsByRegion()) == 0);
}
