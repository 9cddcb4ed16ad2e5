#include <LibEntry/RulesRegion.h>

using namespace Sapphire;

namespace {

// The platform's bound on the time from a change's acknowledgement until each VM follows it.
constexpr Milliseconds configurationDeadline { 2'500 };

} // namespace

TEST_CASE("A VM whose documents are lost and that the store refuses has new rules in time")
{
    // Guards against a VM that stays on old rules although every other VM of its zone has the new ones.
    RulesRegion region(3);
    region.start();
    region.follower().losesDocuments = true;
    region.follower().source.mode = StoreAccess::Mode::Refusing;
    for (int i = 0; i < 5; ++i) {
        region.store.change();
        region.runFor(Milliseconds(200));
    }
    CHECK(region.timeUntilInForce(region.follower(), configurationDeadline) < configurationDeadline);
}

TEST_CASE("A VM that no broadcast reaches and that the store refuses has new rules in time")
{
    // Guards against a VM that doesn't know that it lacks anything, since it learns of new rules with them only.
    RulesRegion region(3);
    region.start();
    region.follower().losesUpdates = true;
    region.follower().source.mode = StoreAccess::Mode::Refusing;
    region.store.change();
    region.runFor(Milliseconds(500));
    region.exchangeHeartbeats();
    CHECK(region.timeUntilInForce(region.follower(), configurationDeadline) < configurationDeadline);
}

TEST_CASE("Rules that another VM sends are in force in time although a call to the store is pending")
{
    // Guards against an update that waits until a call to a silent store has ended.
    RulesRegion region(2);
    region.start();
    region.reader().source.mode = StoreAccess::Mode::Silent;
    REQUIRE(region.runUntil([&] {
        return region.reader().source.silentCalls > 0;
    }));
    region.store.change();
    CHECK(region.timeUntilInForce(region.reader(), configurationDeadline) < configurationDeadline);
}

TEST_CASE("A VM that stands in for a silent reader calls the store about once a second")
{
    // Guards against VMs that each call the store twenty times a second because they hear no updates.
    RulesRegion region(2);
    region.start();
    region.follower().losesUpdates = true;
    const int before = region.follower().source.calls;
    REQUIRE(region.runUntil([&] {
        return region.follower().source.calls > before + 1;
    }));
    const int begin = region.follower().source.calls;
    constexpr int seconds = 3;
    region.runFor(Milliseconds(1'000) * seconds);
    CHECK(region.follower().source.calls - begin <= seconds + 1);
}

TEST_CASE("Rules that arrive while the loop takes no task are in force in time")
{
    // Guards against a source that has new rules, and refuses them as known, while the gateway never got them.
    RulesRegion region(2);
    region.start();
    region.follower().source.mode = StoreAccess::Mode::Refusing;
    region.follower().source.fillsLoopOnce = true;
    region.store.change();
    CHECK(region.timeUntilInForce(region.follower(), configurationDeadline) < configurationDeadline);
    CHECK(region.follower().source.wasRefused);
}
