#include "Commands.h"

#include <LibConfiguration/Freshness.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Microseconds(1'000'000'000) };
constexpr Microseconds second { 1'000'000 };

/// A VM in region cuyo that has the initial configuration, with its evidence.
struct ReceivingVm
{
    ReceivingVm()
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
    Configuration configuration { Commands::initialConfiguration() };
    std::set<KeyId> pending;
    std::set<VmId> members { VmId("self"), VmId("vm-cuyo"), VmId("vm-pampa"), VmId("vm-norte") };
};

} // namespace

TEST_CASE("a store contact or a statement from a second region keeps a VM fresh for freshnessLimit")
{
    // Guards against a VM that refuses requests although it could serve, or serves although it was cut off.
    ReceivingVm receiver;
    CHECK_FALSE(receiver.isFresh(start));
    receiver.freshness.noteStoreContact(start - freshnessLimit);
    CHECK(receiver.isFresh(start));
    CHECK_FALSE(receiver.isFresh(start + Microseconds(1)));
    receiver.freshness.takeStatement(receiver.statement("pampa", start - freshnessLimit + second), start);
    CHECK(receiver.isFresh(start + second));
    CHECK_FALSE(receiver.isFresh(start + second + Microseconds(1)));
}

TEST_CASE("statements that don't show that the receiver is up to date are ignored")
{
    // Guards against keyed requests served by a VM that has missed a change or a withdrawal.
    ReceivingVm receiver;
    Statement statement = receiver.statement("pampa", start);
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
        statement = receiver.statement("cuyo", start);
    }
    SUBCASE("region that the configuration doesn't know")
    {
        statement = receiver.statement("other", start);
    }
    SUBCASE("VM that is not listed")
    {
        receiver.members.erase(VmId("vm-pampa"));
    }
    SUBCASE("retired process")
    {
        receiver.configuration.retired[VmId("vm-pampa")] = Incarnation(1);
    }
    SUBCASE("receiver is retired")
    {
        receiver.configuration.retired[VmId("self")] = Incarnation(1);
    }
    receiver.freshness.takeStatement(statement, start);
    CHECK_FALSE(receiver.isFresh(start));
}

TEST_CASE("a statement counts once the receiver has caught up")
{
    // Guards against a VM that keeps refusing requests after it fetched the missing changes.
    ReceivingVm receiver;
    Statement statement = receiver.statement("pampa", start);
    statement.version = statement.version.next();
    statement.pendingWithdrawals = { KeyId("k1"), KeyId("k2") };
    receiver.freshness.takeStatement(statement, start);
    CHECK_FALSE(receiver.isFresh(start));
    receiver.configuration = Commands::apply(receiver.configuration, Commands::withdrawal("w", "k1")).value();
    CHECK_FALSE(receiver.isFresh(start));
    receiver.pending.insert(KeyId("k2"));
    CHECK(receiver.isFresh(start));
}

TEST_CASE("a pause discards all evidence")
{
    // Guards against a resumed process that serves by what it knew before it was frozen.
    ReceivingVm receiver;
    receiver.freshness.noteStoreContact(start);
    REQUIRE(receiver.isFresh(start));
    const TimePoint resumed = start + longestTickGap + Microseconds(1);
    SUBCASE("a request comes before the tick")
    {
        CHECK_FALSE(receiver.isFresh(resumed));
    }
    SUBCASE("the tick comes before a request")
    {
        receiver.freshness.noteTick(resumed);
    }
    receiver.freshness.noteTick(resumed);
    CHECK_FALSE(receiver.isFresh(resumed));
    // Evidence that was in transit during the pause.
    receiver.freshness.noteStoreContact(resumed - Microseconds(1));
    receiver.freshness.takeStatement(receiver.statement("pampa", resumed - Microseconds(1)), resumed);
    CHECK_FALSE(receiver.isFresh(resumed));
    receiver.freshness.takeStatement(receiver.statement("pampa", resumed), resumed);
    CHECK(receiver.isFresh(resumed));
}

TEST_CASE("a VM that started in an outage counts its own region only after it had a majority without itself")
{
    // Guards against a restarted VM that forms a majority with one stale VM, although its former process knew more.
    ReceivingVm receiver;
    receiver.freshness = {};
    receiver.freshness.noteTick(start);
    receiver.freshness.takeStatement(receiver.statement("pampa", start), start);
    CHECK_FALSE(receiver.isFresh(start));
    CHECK_FALSE(receiver.freshness.isStarted());
    receiver.freshness.takeStatement(receiver.statement("cuyo", start), start);
    CHECK(receiver.isFresh(start));
    CHECK(receiver.freshness.isStarted());
    CHECK(receiver.freshness.newestPerRegion(start).size() == 2);
}

TEST_CASE("without any configuration only the store makes a VM fresh")
{
    // Guards against a VM without configuration that counts as a majority of zero regions.
    ReceivingVm receiver;
    receiver.configuration = {};
    receiver.freshness.takeStatement(receiver.statement("pampa", start), start);
    CHECK_FALSE(receiver.isFresh(start));
    receiver.freshness.noteStoreContact(start);
    CHECK(receiver.isFresh(start));
}
