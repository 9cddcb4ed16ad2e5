#include "Commands.h"

#include <LibConfiguration/ForceTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Microseconds(1'000'000'000) };
constexpr ConfigurationVersion wanted { 2 };

RosterVm vm(const std::string &name, const std::string &region, std::uint64_t confirmed)
{
    RosterVm entry;
    entry.process = { VmId(name), Incarnation(1) };
    entry.place.region = RegionId(region);
    entry.confirmedVersion = ConfigurationVersion(confirmed);
    return entry;
}

bool isInForce(ForceTracker &tracker, TimePoint now)
{
    return tracker.status(wanted, Commands::firstConfiguration().regions, now).isInForce;
}

} // namespace

TEST_CASE("a change is in force a wait after the last confirmation, and stays so")
{
    // Guards against a report that precedes the end of statements made before the last confirmation.
    ForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 1), vm("c", "norte", 1) }, start);
    CHECK_FALSE(isInForce(tracker, start + forceWait));
    const TimePoint confirmed = start + forceWait;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 2), vm("c", "norte", 1) }, confirmed);
    const Microseconds instant { 1 };
    CHECK_FALSE(isInForce(tracker, confirmed + forceWait - instant));
    const InForceStatus status = tracker.status(wanted, Commands::firstConfiguration().regions, confirmed + forceWait);
    CHECK(status.isInForce);
    CHECK(status.unconfirmed == std::vector<VmId> { VmId("c") });
    tracker.observe({ vm("a", "cuyo", 2), vm("d", "pampa", 0), vm("e", "norte", 0) }, confirmed + forceWait);
    CHECK(isInForce(tracker, confirmed + forceWait));
}

TEST_CASE("the disappearance of an unconfirmed VM starts the wait again")
{
    // Guards against a VM that is dropped from the list right after it made a statement without the change.
    ForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 1), vm("c", "norte", 1) }, start);
    const TimePoint dropped = start + forceWait;
    tracker.observe({ vm("a", "cuyo", 2), vm("c", "norte", 1) }, dropped);
    CHECK_FALSE(isInForce(tracker, dropped));
    CHECK(isInForce(tracker, dropped + forceWait));
}

TEST_CASE("later changes don't delay earlier ones")
{
    // Guards against a stream of commands in which nothing ever is in force.
    ForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 2), vm("c", "norte", 2) }, start);
    const TimePoint later = start + forceWait - Microseconds(1);
    tracker.observe({ vm("a", "cuyo", 3), vm("b", "pampa", 3), vm("c", "norte", 3) }, later);
    CHECK(isInForce(tracker, start + forceWait));
    CHECK_FALSE(tracker.status(ConfigurationVersion(3), {}, start + forceWait).isInForce);
}

TEST_CASE("a VM that doesn't know of new regions counts a smaller majority")
{
    // Guards against a change that adds regions: two old VMs in two of the three old regions keep each other fresh.
    std::map<RegionId, RegionRecord> regions = Commands::firstConfiguration().regions;
    for (const char *name : { "este", "oeste" }) {
        regions[RegionId(name)] = RegionRecord { RegionId(name), {}, {}, wanted };
    }
    ForceTracker tracker;
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 1), vm("c", "norte", 1) }, start);
    CHECK_FALSE(tracker.status(wanted, regions, start + forceWait).isInForce);
    tracker.observe({ vm("a", "cuyo", 2), vm("b", "pampa", 2), vm("c", "norte", 1) }, start + forceWait);
    CHECK(tracker.status(wanted, regions, start + forceWait + forceWait).isInForce);
}
