#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

namespace {

const std::string unknownKey = "Authorization: Bearer new\r\n";

/// A gateway with a target, whose rules were confirmed as the test says.
struct Fixture : GatewayFixture
{
    Fixture()
    {
        applyRules();
        applyTargets({ targetEntry("t1", m_target.address()) });
    }

    void confirmRules(Milliseconds age, bool isSuperseded = false)
    {
        run([&] {
            gateway().setRulesConfirmation([this, age, isSuperseded] {
                return RulesConfirmation { gateway().loop().now() - age, isSuperseded };
            });
        });
    }

private:
    ScriptedTarget m_target { answering([](const std::string &) {
        return soundAnswer("ok");
    }) };
};

void checkRefusedForNow(const CallerAnswer &answer)
{
    CHECK(answer.status == 503);
    CHECK(answer.has("Sapphire-Verdict: not-run\r\n"));
    CHECK(answer.has("Retry-After: "));
}

} // namespace

TEST_CASE("A VM whose rules are out of date doesn't refuse what they lack as wrong")
{
    // Guards against callers with a new key or route who are told not to come back by a VM that can't know it yet.
    Fixture fixture;
    for (const bool isSuperseded : { false, true }) {
        CAPTURE(isSuperseded);
        fixture.confirmRules(isSuperseded ? Milliseconds(0) : Milliseconds(3'000), isSuperseded);
        checkRefusedForNow(fixture.call("GET", "/keyed/a", unknownKey));
        checkRefusedForNow(fixture.call("GET", "/new/a"));
        CHECK(fixture.call("GET", "/keyed/a", "Authorization: Bearer secret\r\n").status == 200);
        CHECK(fixture.call("GET", "/read/a").status == 200);
    }
    fixture.confirmRules(Milliseconds(1'500));
    CHECK(fixture.call("GET", "/keyed/a", unknownKey).status == 401);
    CHECK(fixture.call("GET", "/new/a").status == 404);
}

TEST_CASE("A large head is not refused as wrong before the first rules, nor by rules that are out of date")
{
    // Guards against a caller that keeps to a limit which this VM doesn't know.
    const auto largeHead = [](GatewayFixture &fixture) {
        Poco::Net::StreamSocket socket = fixture.connect();
        GatewayFixture::send(socket, "GET /read/a HTTP/1.1\r\nHost: h.example\r\nLarge: " + std::string(20'000, 'a'));
        return GatewayFixture::receive(socket);
    };
    GatewayFixture without;
    checkRefusedForNow(largeHead(without));
    Fixture fixture;
    fixture.confirmRules(Milliseconds(3'000));
    checkRefusedForNow(largeHead(fixture));
    fixture.confirmRules(Milliseconds(0));
    CHECK(largeHead(fixture).status == 431);
}

TEST_CASE("A body over the limit of rules that are out of date is not refused as wrong")
{
    // Guards against a limit that the operator has raised and that this VM can't know.
    Fixture fixture;
    const std::string head = "Content-Length: " + std::to_string(1ULL << 40U) + "\r\n";
    fixture.confirmRules(Milliseconds(3'000));
    checkRefusedForNow(fixture.call("POST", "/book/a", head));
    fixture.confirmRules(Milliseconds(0));
    CHECK(fixture.call("POST", "/book/a", head).status == 413);
}

TEST_CASE("A request that may belong to an unreadable entry of the rules is not refused as wrong")
{
    // Guards against callers who are told not to come back because their own route or customer can't be read.
    ServingRules::Content content;
    content.version = ConfigurationVersion(9);
    content.customers = { {} };
    content.unreadableRoutes = { { "h.example", "/broken/" } };
    content.unreadableCustomers = 1;
    Route route;
    route.host = "h.example";
    route.pathPrefix = "/keyed/";
    route.services = { { ServiceId("s"), 1 } };
    content.routes = { route };
    GatewayFixture fixture;
    fixture.run([&] {
        fixture.gateway().applyRules(RefPointer<const ServingRules>(new ServingRules(content)));
    });
    checkRefusedForNow(fixture.call("GET", "/broken/a", unknownKey));
    checkRefusedForNow(fixture.call("GET", "/keyed/a", unknownKey));
    CHECK(fixture.call("GET", "/other/a", unknownKey).status == 404);
}
