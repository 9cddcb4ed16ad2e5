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

TEST_CASE("No key is accepted once the last one was taken away")
{
    // Guards against requests that run for everyone because the list of customers is empty.
    ServingRules::Content content;
    content.version = ConfigurationVersion(9);
    content.hasCustomerList = true;
    Route route;
    route.host = "h.example";
    route.pathPrefix = "/keyed/";
    route.timeout = Milliseconds(1'000);
    route.services = { { ServiceId("s"), 1 } };
    content.routes = { route };
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.run([&] {
        fixture.gateway().applyRules(RefPointer<const ServingRules>(new ServingRules(content)));
    });
    CHECK(fixture.call("GET", "/keyed/a", unknownKey).status == 401);
    CHECK(fixture.call("GET", "/keyed/a", "Authorization: Bearer secret\r\n").status == 401);
    CHECK(fixture.call("GET", "/keyed/a").status == 401);
}

TEST_CASE("A request that keeps exactly to the limits is not refused as wrong")
{
    // Guards against a limit that counts framing as body, or the pieces in which a head arrives.
    constexpr std::size_t mostHeadBytes = 2'000;
    constexpr std::size_t mostBodyBytes = 1'000;
    ServingRules::Content content;
    content.version = ConfigurationVersion(9);
    content.limits.headBytes = mostHeadBytes;
    content.limits.bodyBytes = mostBodyBytes;
    Route route;
    route.host = "h.example";
    route.pathPrefix = "/book/";
    route.timeout = Milliseconds(1'000);
    route.targetLatency = Milliseconds(1'000);
    route.services = { { ServiceId("s"), 1 } };
    content.routes = { route };
    // The answer comes once the body has, so that the rest of it isn't taken for another request.
    ScriptedTarget target([](Poco::Net::StreamSocket &socket) {
        std::string text;
        char byte = 0;
        const auto hasAll = [&text] {
            return text.ends_with("0\r\n\r\n") || text.ends_with(std::string(mostBodyBytes, 'b'));
        };
        while (socket.receiveBytes(&byte, 1) > 0) {
            text += byte;
            if (text.starts_with("GET ") && text.ends_with("\r\n\r\n")) {
                ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                text.clear();
            } else if (hasAll()) {
                ScriptedTarget::write(socket, soundAnswer("ok"));
                text.clear();
            }
        }
    });
    GatewayFixture fixture;
    fixture.run([&] {
        fixture.gateway().applyRules(RefPointer<const ServingRules>(new ServingRules(content)));
    });
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const std::string chunk = "fa;name=value\r\n" + std::string(250, 'b') + "\r\n";
    const std::string chunks = chunk + chunk + chunk + chunk + "0\r\n\r\n";
    const CallerAnswer larger = fixture.call("POST", "/book/a", "", std::string(mostBodyBytes + 1, 'b'));
    CHECK(larger.status == 413);
    for (const bool isChunked : { false, true }) {
        CAPTURE(isChunked);
        std::string head = "POST /book/a HTTP/1.1\r\nHost: H.example:8080\r\nRequest-Id: r1\r\nDeadline-Ms: 0900\r\n"
                           "Connection: close\r\n";
        head +=
            isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(mostBodyBytes) + "\r\n";
        const std::string end = "\r\n\r\n";
        head += "Fill: ";
        head += std::string(mostHeadBytes - head.size() - end.size(), 'f') + end;
        Poco::Net::StreamSocket socket = fixture.connect();
        socket.setNoDelay(true);
        constexpr std::size_t pieceBytes = 250;
        const std::string text = head + (isChunked ? chunks : std::string(mostBodyBytes, 'b'));
        for (std::size_t begin = 0; begin < text.size(); begin += pieceBytes) {
            GatewayFixture::send(socket, text.substr(begin, pieceBytes));
            std::this_thread::sleep_for(Milliseconds(2));
        }
        CHECK(GatewayFixture::receive(socket).status == 200);
    }
}
