#include "Commands.h"

#include <LibConfiguration/CommandCodec.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("every kind of command survives encoding and decoding")
{
    // Guards against a kind or member that is lost between the VM that writes a row and those that read it.
    CommandBatch all = std::get<CommandBatch>(Commands::initialBatch().body);
    all.commands.emplace_back(WithdrawKey { KeyId("k1") });
    all.commands.emplace_back(RemoveTarget { TargetId("booking-1") });
    all.commands.emplace_back(DrainTarget { TargetId("booking-1"), false });
    all.commands.emplace_back(RetireVm { { VmId("cuyo-1"), Incarnation(18'446'744'073'709'551'615ULL) } });
    all.commands.emplace_back(SetCustomer { CustomerId("c"), 0.1 + 0.2, 1e6 });
    std::set<std::size_t> kinds;
    std::vector<CommandBody> bodies = all.commands;
    bodies.emplace_back(all);
    for (const CommandBody &body : bodies) {
        kinds.insert(body.index());
        Command command = Commands::make("a/b-1", body);
        command.seen = ConfigurationVersion(41);
        const std::string text = CommandCodec::encode(command);
        const Outcome<Command> decoded = capture([&] {
            return CommandCodec::decode(text);
        });
        REQUIRE_MESSAGE(decoded, decoded.error().message);
        CHECK(decoded.value().id == command.id);
        CHECK(decoded.value().operatorId == command.operatorId);
        CHECK(decoded.value().seen == command.seen);
        CHECK(decoded.value().wallTime == command.wallTime);
        CHECK(decoded.value().body.index() == body.index());
        CHECK(CommandCodec::encode(decoded.value()) == text);
    }
    CHECK(kinds.size() == std::variant_size_v<CommandBody>);
    const Outcome<Command> precise = capture([&] {
        return CommandCodec::decode(CommandCodec::encode(Commands::make("c", all.commands.back())));
    });
    CHECK(std::get<SetCustomer>(precise.value().body).ratePerSecond == 0.1 + 0.2);
}

TEST_CASE("CommandCodec rejects unknown, missing and invalid members")
{
    // Guards against rows written by newer programs, of which older ones would apply only a part.
    const std::string head = R"({"id":"c","operator":"ana","wallTimeUs":1,)";
    for (const std::string &text : {
             std::string(""),
             std::string("[]"),
             head + R"("command":{"kind":"withdraw-key","key":"k1","more":1}})",
             head + R"("command":{"kind":"withdraw-key","key":"k1"},"more":1})",
             head + R"("command":{"kind":"withdraw-key"}})",
             head + R"("command":{"kind":"withdraw-key","key":7}})",
             head + R"("command":{"kind":"explode"}})",
             head + R"("command":{"kind":"batch","commands":[{"kind":"batch","commands":[]}]}})",
             head + R"("command":{"kind":"drain-target","target":"t"}})",
             head + R"("command":{"kind":"retire-vm","vm":"v","incarnation":"1x"}})",
             std::string(R"({"id":"c","operator":"a","wallTimeUs":18446744073709551615,)")
                 + R"("command":{"kind":"withdraw-key","key":"k"}})",
         }) {
        const Outcome<Command> decoded = capture([&] {
            return CommandCodec::decode(text);
        });
        REQUIRE_FALSE_MESSAGE(decoded, text);
        CHECK(decoded.error().code == ErrorCode::InvalidArgument);
    }
}
