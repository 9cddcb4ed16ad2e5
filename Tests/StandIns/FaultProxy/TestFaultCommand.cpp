#include <StandIns/FaultProxy/FaultCommand.h>
#include <StandIns/FaultProxy/LinkSettings.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

std::string errorOf(const std::string &text)
{
    const auto outcome = capture([&] {
        return parseFaultCommand(text);
    });
    return outcome ? "" : outcome.error().message;
}

} // namespace

TEST_CASE("parseFaultCommand reads what faultCommandText writes")
{
    FaultCommand command;
    command.name = "cuyo/";
    command.isPrefix = true;
    command.faults.delay = { Microseconds(500), Microseconds(20'000) };
    command.faults.bytesPerSecond = 37'500'000;
    command.faults.isCut = true;
    command.faults.truncateAnswerAfter = 100;
    command.faults.closeAfter = 200;
    command.faults.dropAnswers = 3;
    command.silenceExisting = { false, true };
    command.resetExisting = true;
    const auto parsed = capture([&] {
        return parseFaultCommand(faultCommandText(command));
    });
    REQUIRE(parsed);
    CHECK(faultCommandText(parsed.value()) == faultCommandText(command));
    CHECK(parsed.value().faults.delay.toServer == Microseconds(500));
    CHECK(parsed.value().silenceExisting.toClient);
    CHECK_FALSE(parsed.value().silenceExisting.toServer);
    CHECK(parsed.value().selects("cuyo/1"));
    CHECK_FALSE(parsed.value().selects("pampa/1"));
}

TEST_CASE("parseFaultCommand and parseLinks report every error in their input")
{
    // Guards against a misspelt fault that is ignored, so that a test runs without the fault that it sets.
    CHECK(errorOf("{}") == "link: found nothing, expected a text");
    CHECK(errorOf(R"({"link":"a","delay":5})") == "delay: unknown member");
    CHECK(errorOf(R"({"link":"a","silence":"some"})") == "silence: found some, expected none, existing or all");
    CHECK(errorOf(R"({"prefix":"","delayToServerMs":-1})").starts_with("delayToServerMs: found -1"));
    const auto links = capture([] {
        return parseLinks(R"({"links":[{"name":"a","listen":"127.0.0.1:1","connect":"127.0.0.1"},
                                       {"name":"a","listen":"127.0.0.1:2","connect":"127.0.0.1:3"}]})");
    });
    REQUIRE_FALSE(links);
    CHECK(links.error().message
          == "links[0].connect: found 127.0.0.1, expected \"ip:port\"\n"
             "links[1].name: found a, expected a unique name");
}
