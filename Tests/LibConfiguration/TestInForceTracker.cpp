#include "Commands.h"

#include <LibConfiguration/InForceTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Microseconds(1'000'000'000) };
constexpr ConfigurationVersion wanted { 2 };

RosterVm vm(const std::string &name, const std::string &region, std::uint64_t confirmed)
{
    RosterVm entry;
    entry.process = { VmId(name), Incarnation(1) };
    entry.locality.region = RegionId(region);
    entry.confirmedVersion = ConfigurationVersion(confirmed);
    return entry;
}

bool isInForce(InForceTracker &tracker, TimePoint now)
{
    return tracker.status(wanted, Commands::initialConfiguration().regions, now).isInForce;
}

} // namespace

TEST_CASE("a change is in force once inForceWait has passed since the last confirmation, and stays in force")
{
    // Guards against a change reported as in force while statements made before the last confirmation still count.
    InForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 1), vm("c", "norte", 1) }, start);
    CHECK_FALSE(isInForce(tracker, start + inForceWait));
    const TimePoint confirmed = start + inForceWait;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 2), vm("c", "norte", 1) }, confirmed);
    const Microseconds instant { 1 };
    CHECK_FALSE(isInForce(tracker, confirmed + inForceWait - instant));
    const InForceStatus status =
        tracker.status(wanted, Commands::initialConfiguration().regions, confirmed + inForceWait);
    CHECK(status.isInForce);
    CHECK(status.unconfirmed == std::vector<VmId> { VmId("c") });
    tracker.observe({ vm("a", "cuyo", 2), vm("d", "pampa", 0), vm("e", "norte", 0) }, confirmed + inForceWait);
    CHECK(isInForce(tracker, confirmed + inForceWait));
}

TEST_CASE("the disappearance of an unconfirmed VM starts the wait again")
{
    // Guards against a VM that leaves the list right after it made a statement without the change.
    InForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 1), vm("c", "norte", 1) }, start);
    const TimePoint dropped = start + inForceWait;
    tracker.observe({ vm("a", "cuyo", 2), vm("c", "norte", 1) }, dropped);
    CHECK_FALSE(isInForce(tracker, dropped));
    CHECK(isInForce(tracker, dropped + inForceWait));
}

TEST_CASE("later changes don't delay earlier ones")
{
    // Guards against a steady stream of commands that keeps every change from being in force.
    InForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 2), vm("c", "norte", 2) }, start);
    const TimePoint later = start + inForceWait - Microseconds(1);
    tracker.observe({ vm("a", "cuyo", 3), vm("b", "pampa", 3), vm("c", "norte", 3) }, later);
    CHECK(isInForce(tracker, start + inForceWait));
    CHECK_FALSE(tracker.status(ConfigurationVersion(3), {}, start + inForceWait).isInForce);
}

TEST_CASE("a VM that doesn't know of new regions counts a smaller majority")
{
    // Guards against a change that adds regions and is reported as in force while VMs without it, in two of the three
    // old regions, still keep each other fresh.
    std::map<RegionId, RegionRecord> regions = Commands::initialConfiguration().regions;
    for (const char *name : { "este", "oeste" }) {
        regions[RegionId(name)] = RegionRecord { RegionId(name), {}, {}, wanted };
    }
    InForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 1), vm("c", "norte", 1) }, start);
    CHECK_FALSE(tracker.status(wanted, regions, start + inForceWait).isInForce);
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 2), vm("c", "norte", 1) }, start + inForceWait);
    CHECK(tracker.status(wanted, regions, start + inForceWait + inForceWait).isInForce);
}
