#include <LibFleet/LogEntryCodec.h>
#include <LibFleet/RequestCodec.h>
#include <LibFleet/WireCodec.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const TimePoint now { Milliseconds(1'000'000) };

LogEntry roundTrip(const LogEntry &entry)
{
    wire::LogEntry message;
    encode(entry, message);
    wire::LogEntry received;
    REQUIRE(received.ParseFromString(message.SerializeAsString()));
    const auto decoded = capture([&] {
        return decode(received);
    });
    REQUIRE(decoded);
    return decoded.value();
}

CommandBatch everyCommand()
{
    ServiceRecord service;
    service.id = ServiceId("booking");
    service.isOpenToAll = true;
    service.defaultTimeout = Milliseconds(1);
    service.shiftCap = Share(2);
    service.shiftInterval = Milliseconds(3);
    service.regionLimit = Share(4);
    TargetRecord target;
    target.id = TargetId("target-1");
    target.service = ServiceId("booking");
    target.locality = { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    target.address = "10.0.0.1:80";
    target.slots = 5;
    target.connectionLimit = 6;
    target.isDrained = true;
    return { { SetRegion { RegionId("cuyo"), { RegionId("pampa"), RegionId("norte") } },
               SetCustomer { CustomerId("limpieza"), 1.5, 20 }, GrantKey { KeyId("k"), CustomerId("limpieza"), "ab" },
               WithdrawKey { KeyId("k") }, SetService { service }, SetTarget { target },
               RemoveTarget { TargetId("target-2") }, DrainTarget { TargetId("target-3"), false },
               SetClientBlock { "10.1.0.0/16", RegionId("norte") }, RetireVm { { VmId("vm-1"), Incarnation(8) } } } };
}

} // namespace

TEST_CASE("each kind of command survives encoding and decoding")
{
    // Guards against a field that is lost when a log entry is relayed, so that the configurations of VMs differ.
    const LogEntry entry { ConfigurationVersion(3),
                           { CommandId("c"), OperatorId("o"), ConfigurationVersion(2), Microseconds(9),
                             everyCommand() } };
    const LogEntry decoded = roundTrip(entry);
    CHECK(decoded.version == entry.version);
    CHECK(decoded.command.id == entry.command.id);
    CHECK(decoded.command.operatorId == entry.command.operatorId);
    CHECK(decoded.command.seen == entry.command.seen);
    CHECK(decoded.command.wallTime == entry.command.wallTime);
    const auto &commands = std::get<CommandBatch>(decoded.command.body).commands;
    REQUIRE(commands.size() == 10);
    CHECK(std::get<SetRegion>(commands[0]).fallbacks == std::vector { RegionId("pampa"), RegionId("norte") });
    CHECK(std::get<SetCustomer>(commands[1]).ratePerSecond == 1.5);
    CHECK(std::get<SetCustomer>(commands[1]).burst == 20);
    CHECK(std::get<GrantKey>(commands[2]).secretHash == "ab");
    CHECK(std::get<WithdrawKey>(commands[3]).key == KeyId("k"));
    const ServiceRecord &service = std::get<SetService>(commands[4]).service;
    CHECK(service.isOpenToAll);
    CHECK(service.defaultTimeout == Milliseconds(1));
    CHECK(service.shiftCap == Share(2));
    CHECK(service.shiftInterval == Milliseconds(3));
    CHECK(service.regionLimit == Share(4));
    const TargetRecord &target = std::get<SetTarget>(commands[5]).target;
    CHECK(target.locality == Locality { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") });
    CHECK(target.address == "10.0.0.1:80");
    CHECK(target.slots == 5);
    CHECK(target.connectionLimit == 6);
    CHECK(target.isDrained);
    CHECK(std::get<RemoveTarget>(commands[6]).target == TargetId("target-2"));
    CHECK_FALSE(std::get<DrainTarget>(commands[7]).isDrained);
    CHECK(std::get<SetClientBlock>(commands[8]).prefix == "10.1.0.0/16");
    CHECK(std::get<RetireVm>(commands[9]).process == VmIncarnation { VmId("vm-1"), Incarnation(8) });
}

TEST_CASE("an encoded age never makes a statement younger")
{
    // Guards against a configuration that counts as fresh for longer than the statement justifies.
    const Statement statement { { VmId("vm-1"), Incarnation(1) },
                                RegionId("cuyo"),
                                now - Microseconds(1'500),
                                ConfigurationVersion(1),
                                { KeyId("k") } };
    wire::Statement message;
    encode(statement, now, message);
    const auto decoded = capture([&] {
        return decode(message, now);
    });
    REQUIRE(decoded);
    CHECK(decoded.value().statedAt <= statement.statedAt);
    CHECK(statement.statedAt - decoded.value().statedAt < Milliseconds(1));
    CHECK(decoded.value().pendingWithdrawals == statement.pendingWithdrawals);
}

TEST_CASE("values that are out of range are rejected or clamped")
{
    // Guards against crashes and overflows on messages of an unknown sender or another release.
    const auto isDecoded = [](const auto &message, auto... arguments) {
        return static_cast<bool>(capture([&] {
            return decode(message, arguments...);
        }));
    };
    wire::Endpoints endpoints;
    endpoints.set_address("10.0.0.1");
    endpoints.set_fleet_port(70'000);
    CHECK_FALSE(isDecoded(endpoints));
    wire::TargetReport report;
    report.set_target("t");
    report.set_observer("o");
    report.set_health(9);
    CHECK_FALSE(isDecoded(report, now));
    wire::Refusal refusal;
    refusal.set_verdict("perhaps");
    CHECK_FALSE(isDecoded(refusal, now));
    wire::AnswerHead head;
    head.set_status(99);
    CHECK_FALSE(isDecoded(head));
    CHECK_FALSE(isDecoded(wire::LogEntry()));
    wire::LogEntry nested;
    wire::CommandBody *body = nested.mutable_body();
    for (int depth = 0; depth < 50; ++depth) {
        body = body->mutable_batch()->add_commands();
    }
    body->set_withdraw_key("k");
    CHECK_FALSE(isDecoded(nested));
    CHECK(decodeAge(4'000'000'000U, now) == now - Milliseconds(3'600'000));
    CHECK(encodeRemaining(Deadline::never(), now) == 3'600'000);
    CHECK(encodeRemaining(Deadline(now - Milliseconds(5)), now) == 0);
}
