#include "Commands.h"

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

ErrorCode codeOf(const Configuration &before, const CommandBody &body)
{
    const Outcome<Configuration> after = Commands::apply(before, Commands::make("c", body));
    return after ? ErrorCode::Internal : after.error().code;
}

} // namespace

TEST_CASE("applyCommand leaves the earlier configuration unchanged and records the change in the object")
{
    // Guards against copies that share a changed record with the version that requests still use.
    const Configuration before = Commands::initialConfiguration();
    const Configuration after = Commands::apply(before, Commands::customer("c", 9)).value();
    CHECK(before.customers.at(CustomerId("bodega-7")).ratePerSecond == 5);
    CHECK(after.customers.at(CustomerId("bodega-7")).ratePerSecond == 9);
    CHECK(after.version == ConfigurationVersion(2));
    CHECK(after.customers.at(CustomerId("bodega-7")).lastChange.version == ConfigurationVersion(2));
    CHECK(after.customers.at(CustomerId("bodega-7")).lastChange.changedBy == OperatorId("ana"));
    CHECK(after.regions.at(RegionId("cuyo")).addedIn == ConfigurationVersion(1));

    const Configuration moved =
        Commands::apply(after, Commands::make("d", SetClientBlock { "10.1.0.0/16", RegionId("pampa") })).value();
    CHECK(after.clientBlocks.at("10.1.0.0/16").region == RegionId("cuyo"));
    CHECK(moved.clientBlocks.at("10.1.0.0/16").region == RegionId("pampa"));
}

TEST_CASE("applyCommand rejects faulty values")
{
    // Guards against commands that break look-ups, limits or connections on every VM at once.
    const Configuration before = Commands::initialConfiguration();
    const CustomerId customer("bodega-7");
    const RegionId region("cuyo");
    for (const double rate :
         { 0.0, -1.0, 2e6, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
        CHECK(codeOf(before, SetCustomer { customer, rate, 20 }) == ErrorCode::InvalidArgument);
        CHECK(codeOf(before, SetCustomer { customer, 5, rate }) == ErrorCode::InvalidArgument);
    }
    for (const std::string &id : { std::string(), std::string("a b"), std::string("a\"b"), std::string(65, 'a') }) {
        CHECK(codeOf(before, SetCustomer { CustomerId(id), 5, 20 }) == ErrorCode::InvalidArgument);
    }
    for (const char *prefix : { "", "10.1.0.0", "10.1.0.0/33", "10.1.0.1/16", "10.1.0/16", "256.0.0.0/8", "01.0.0.0/8",
                                "10.0.0.0/-1", "a/8" }) {
        CHECK(codeOf(before, SetClientBlock { prefix, region }) == ErrorCode::InvalidArgument);
    }
    for (const char *address : { "", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "host:80", "127.0.0:80" }) {
        TargetRecord target = Commands::target("t");
        target.address = address;
        CHECK(codeOf(before, SetTarget { target }) == ErrorCode::InvalidArgument);
    }
    TargetRecord slotless = Commands::target("t");
    slotless.slots = 0;
    CHECK(codeOf(before, SetTarget { slotless }) == ErrorCode::InvalidArgument);
    ServiceRecord service;
    service.id = ServiceId("status");
    service.shiftCap = Share(1'000'001);
    CHECK(codeOf(before, SetService { service }) == ErrorCode::InvalidArgument);
    CHECK(codeOf(before, SetRegion { region, { region } }) == ErrorCode::InvalidArgument);
    CHECK(codeOf(before, GrantKey { KeyId("a.b"), customer, sha256Hex("x") }) == ErrorCode::InvalidArgument);
    CHECK(codeOf(before, GrantKey { KeyId("k3"), customer, "the secret" }) == ErrorCode::InvalidArgument);
    CHECK(codeOf(before, CommandBatch {}) == ErrorCode::InvalidArgument);
    CHECK(codeOf(before, CommandBatch { { CommandBatch { { WithdrawKey { KeyId("k1") } } } } })
          == ErrorCode::InvalidArgument);
}

TEST_CASE("applyCommand rejects unknown objects")
{
    // Guards against records that refer to objects which don't exist.
    const Configuration before = Commands::initialConfiguration();
    TargetRecord target = Commands::target("t");
    target.service = ServiceId("none");
    CHECK(codeOf(before, SetTarget { target }) == ErrorCode::NotFound);
    target = Commands::target("t");
    target.locality.region = RegionId("none");
    CHECK(codeOf(before, SetTarget { target }) == ErrorCode::NotFound);
    CHECK(codeOf(before, GrantKey { KeyId("k3"), CustomerId("none"), sha256Hex("x") }) == ErrorCode::NotFound);
    CHECK(codeOf(before, WithdrawKey { KeyId("none") }) == ErrorCode::NotFound);
    CHECK(codeOf(before, DrainTarget { TargetId("none") }) == ErrorCode::NotFound);
    CHECK(codeOf(before, RemoveTarget { TargetId("none") }) == ErrorCode::NotFound);
    CHECK(codeOf(before, SetClientBlock { "10.0.0.0/8", RegionId("none") }) == ErrorCode::NotFound);
    CHECK(codeOf(before, SetRegion { RegionId("cuyo"), { RegionId("none") } }) == ErrorCode::NotFound);
}

TEST_CASE("a withdrawn key id never comes back")
{
    // Guards against a key that works again after its withdrawal, or a reused id that an old withdrawal would hit.
    Configuration configuration = Commands::initialConfiguration();
    configuration = Commands::apply(configuration, Commands::withdrawal("w", "k1")).value();
    CHECK(configuration.keys.at(KeyId("k1")).isWithdrawn);
    CHECK(codeOf(configuration, GrantKey { KeyId("k1"), CustomerId("bodega-7"), sha256Hex("x") })
          == ErrorCode::Conflict);
    CHECK(codeOf(configuration, WithdrawKey { KeyId("k1") }) == ErrorCode::Conflict);
}

TEST_CASE("a retirement is never undone")
{
    // Guards against an old entry that would let a retired process serve again.
    Configuration configuration = Commands::initialConfiguration();
    const VmId vm("cuyo-1");
    configuration = Commands::apply(configuration, Commands::make("r", RetireVm { { vm, Incarnation(5) } })).value();
    CHECK(configuration.isRetired({ vm, Incarnation(5) }));
    CHECK_FALSE(configuration.isRetired({ vm, Incarnation(6) }));
    CHECK(codeOf(configuration, RetireVm { { vm, Incarnation(4) } }) == ErrorCode::Conflict);
    CHECK(codeOf(configuration, RetireVm { { vm, Incarnation(0) } }) == ErrorCode::InvalidArgument);
}

TEST_CASE("a command is rejected if the same object was changed after the version that the operator had seen")
{
    // Guards against two operators who overwrite each other without notice.
    Configuration configuration = Commands::initialConfiguration();
    configuration = Commands::apply(configuration, Commands::customer("c", 9)).value();
    Command late = Commands::make("d", SetCustomer { CustomerId("bodega-7"), 7, 20 }, "ben");
    late.seen = ConfigurationVersion(1);
    const Outcome<Configuration> lost = Commands::apply(configuration, late);
    REQUIRE_FALSE(lost);
    CHECK(lost.error().code == ErrorCode::Conflict);
    CHECK(lost.error().message == "customer bodega-7 was changed by ana in version 2");
    late.seen = ConfigurationVersion(2);
    CHECK(Commands::apply(configuration, late));

    configuration = Commands::apply(configuration, Commands::make("e", RemoveTarget { TargetId("booking-1") })).value();
    Command restore = Commands::make("f", SetTarget { Commands::target("booking-1") }, "ben");
    restore.seen = ConfigurationVersion(2);
    CHECK_FALSE(Commands::apply(configuration, restore));
    restore.seen = ConfigurationVersion(3);
    CHECK(Commands::apply(configuration, restore));
}

TEST_CASE("a change of a target's slots keeps its drain")
{
    // Guards against a drain that ends during maintenance because someone corrected the target's address.
    Configuration configuration = Commands::initialConfiguration();
    const TargetId id("booking-1");
    configuration = Commands::apply(configuration, Commands::make("d", DrainTarget { id })).value();
    configuration =
        Commands::apply(configuration, Commands::make("s", SetTarget { Commands::target("booking-1") })).value();
    CHECK(configuration.targets.at(id).isDrained);
}

TEST_CASE("a command id takes effect once, and the number of recent ids is limited")
{
    // Guards against a resent command that undoes later changes, and against a list of ids that grows without limit in
    // every copy.
    Configuration configuration = Commands::initialConfiguration();
    configuration = Commands::apply(configuration, Commands::customer("c", 9)).value();
    configuration = Commands::apply(configuration, Commands::customer("d", 7)).value();
    CHECK_FALSE(Commands::apply(configuration, Commands::customer("c", 9)));
    CHECK(versionOfCommand(configuration, CommandId("c")) == ConfigurationVersion(2));
    for (std::uint64_t i = 0; i < recentCommandLimit; ++i) {
        configuration = Commands::apply(configuration, Commands::customer("n" + std::to_string(i), 5)).value();
    }
    CHECK(configuration.recentCommands.size() == recentCommandLimit);
    CHECK_FALSE(versionOfCommand(configuration, CommandId("c")));
}

TEST_CASE("a log entry that can't be applied advances the version and nothing else")
{
    // Guards against VMs that stop at, or disagree about, an entry written by a faulty program.
    const Configuration before = Commands::initialConfiguration();
    std::optional<Error> skipped;
    const LogEntry faulty { ConfigurationVersion(2), Commands::customer("c", -1) };
    const Configuration after = applyEntry(before, faulty, skipped);
    CHECK(skipped);
    CHECK(after.version == ConfigurationVersion(2));
    CHECK(after.customers.at(CustomerId("bodega-7")).ratePerSecond == 5);
    CHECK_FALSE(versionOfCommand(after, CommandId("c")));
    const Configuration next = applyEntry(after, { ConfigurationVersion(3), Commands::customer("d", 6) }, skipped);
    CHECK_FALSE(skipped);
    CHECK(next.version == ConfigurationVersion(3));
}
