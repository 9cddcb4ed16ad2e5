#include "Commands.h"

#include <LibConfiguration/Freshness.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Microseconds(1'000'000'000) };
constexpr Microseconds second { 1'000'000 };

/// A VM in region cuyo that knows the first configuration, and what it hears.
struct Listener
{
    Listener()
    {
        freshness.noteTick(start);
        freshness.noteStoreContact(start - freshnessLimit - second);
    }
    Statement statement(const std::string &region, TimePoint at) const
    {
        return { { VmId("vm-" + region), Incarnation(1) }, RegionId(region), at, configuration.version, {} };
    }
    bool isFresh(TimePoint now)
    {
        return freshness.isFresh(
            { { VmId("self"), Incarnation(1) }, RegionId("cuyo"), configuration, pending, members }, now);
    }

    Freshness freshness;
    Configuration configuration { Commands::firstConfiguration() };
    std::set<KeyId> pending;
    std::set<VmId> members { VmId("self"), VmId("vm-cuyo"), VmId("vm-pampa"), VmId("vm-norte") };
};

} // namespace

TEST_CASE("a store contact or a statement from a second region keeps a VM fresh for the limit")
{
    // Guards against a VM that refuses while it could serve, or serves after it was cut off.
    Listener listener;
    CHECK_FALSE(listener.isFresh(start));
    listener.freshness.noteStoreContact(start - freshnessLimit);
    CHECK(listener.isFresh(start));
    CHECK_FALSE(listener.isFresh(start + Microseconds(1)));
    listener.freshness.takeStatement(listener.statement("pampa", start - freshnessLimit + second), start);
    CHECK(listener.isFresh(start + second));
    CHECK_FALSE(listener.isFresh(start + second + Microseconds(1)));
}

TEST_CASE("statements that don't show the receiver to be up to date don't count")
{
    // Guards against keyed requests served by a VM that has missed a change or a withdrawal.
    Listener listener;
    Statement statement = listener.statement("pampa", start);
    SUBCASE("newer version")
    {
        statement.version = statement.version.next();
    }
    SUBCASE("unknown withdrawal")
    {
        statement.pendingWithdrawals = { KeyId("k1") };
    }
    SUBCASE("own region only")
    {
        statement = listener.statement("cuyo", start);
    }
    SUBCASE("region that the configuration doesn't know")
    {
        statement = listener.statement("other", start);
    }
    SUBCASE("VM that is not listed")
    {
        listener.members.erase(VmId("vm-pampa"));
    }
    SUBCASE("retired process")
    {
        listener.configuration.retired[VmId("vm-pampa")] = Incarnation(1);
    }
    SUBCASE("receiver is retired")
    {
        listener.configuration.retired[VmId("self")] = Incarnation(1);
    }
    listener.freshness.takeStatement(statement, start);
    CHECK_FALSE(listener.isFresh(start));
}

TEST_CASE("a statement counts once the receiver has caught up")
{
    // Guards against a VM that stays refusing after it fetched the difference.
    Listener listener;
    Statement statement = listener.statement("pampa", start);
    statement.version = statement.version.next();
    statement.pendingWithdrawals = { KeyId("k1"), KeyId("k2") };
    listener.freshness.takeStatement(statement, start);
    CHECK_FALSE(listener.isFresh(start));
    listener.configuration = Commands::apply(listener.configuration, Commands::withdrawal("w", "k1")).value();
    CHECK_FALSE(listener.isFresh(start));
    listener.pending.insert(KeyId("k2"));
    CHECK(listener.isFresh(start));
}

TEST_CASE("a pause discards all evidence")
{
    // Guards against a resumed process that serves by what it knew before it was frozen.
    Listener listener;
    listener.freshness.noteStoreContact(start);
    REQUIRE(listener.isFresh(start));
    const TimePoint resumed = start + longestTickGap + Microseconds(1);
    SUBCASE("a request comes before the tick")
    {
        CHECK_FALSE(listener.isFresh(resumed));
    }
    SUBCASE("the tick comes before a request")
    {
        listener.freshness.noteTick(resumed);
    }
    listener.freshness.noteTick(resumed);
    CHECK_FALSE(listener.isFresh(resumed));
    // Evidence that was on its way during the pause.
    listener.freshness.noteStoreContact(resumed - Microseconds(1));
    listener.freshness.takeStatement(listener.statement("pampa", resumed - Microseconds(1)), resumed);
    CHECK_FALSE(listener.isFresh(resumed));
    listener.freshness.takeStatement(listener.statement("pampa", resumed), resumed);
    CHECK(listener.isFresh(resumed));
}

TEST_CASE("a VM that started in an outage counts its own region only after others did")
{
    // Guards against a restarted VM that forms a majority with one stale VM, although its former process knew more.
    Listener listener;
    listener.freshness = {};
    listener.freshness.noteTick(start);
    listener.freshness.takeStatement(listener.statement("pampa", start), start);
    CHECK_FALSE(listener.isFresh(start));
    CHECK_FALSE(listener.freshness.isStarted());
    listener.freshness.takeStatement(listener.statement("cuyo", start), start);
    CHECK(listener.isFresh(start));
    CHECK(listener.freshness.isStarted());
    CHECK(listener.freshness.newestPerRegion(start).size() == 2);
}

TEST_CASE("without any configuration only the store makes a VM fresh")
{
    // Guards against an empty VM that takes itself for the majority of no regions.
    Listener listener;
    listener.configuration = {};
    listener.freshness.takeStatement(listener.statement("pampa", start), start);
    CHECK_FALSE(listener.isFresh(start));
    listener.freshness.noteStoreContact(start);
    CHECK(listener.isFresh(start));
}
