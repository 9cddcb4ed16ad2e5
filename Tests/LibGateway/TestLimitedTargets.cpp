#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

TEST_CASE("A target that names a rate limit gets no more than that, and the rest is refused as not run")
{
    // Guards against a target in need that gets its usual load, though it says in its answers what it can take.
    std::atomic<int> requests { 0 };
    std::atomic<bool> isInNeed { true };
    ScriptedTarget target(answering([&](const std::string &) {
        ++requests;
        return soundAnswer("read", isInNeed ? "Request-Id: r1\r\nRate-Limit: 1.5\r\n" : "Request-Id: r1\r\n");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(200));
    fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
    CHECK(fixture.call("GET", "/read/a").status == 200);
    CHECK(requests == 1);
    int served = 0;
    int refused = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end) {
        const int status = fixture.call("GET", "/read/a").status;
        served += status == 200 ? 1 : 0;
        refused += status == 503 ? 1 : 0;
    }
    CHECK(requests == served + 1);
    CHECK(served >= 3);
    CHECK(served <= 1.5 * 1.5 * 4 + 5);
    CHECK(refused > 0);

    isInNeed = false;
    while (fixture.call("GET", "/read/a").status != 200) {
        REQUIRE(std::chrono::steady_clock::now() < end + std::chrono::seconds(4));
    }
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.call("GET", "/read/a").status == 200);
    }
}

TEST_CASE("An answer whose rate limit can't be read does not end the limit that the target has named")
{
    // Guards against a target in need that gets its usual load again because of one odd header.
    std::atomic<int> requests { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        const std::string limit = requests++ == 0 ? "1.5" : "odd";
        return soundAnswer("read", "Request-Id: r1\r\nRate-Limit: " + limit + "\r\n");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(200));
    fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end) {
        fixture.call("GET", "/read/a");
    }
    CHECK(requests > 1);
    CHECK(requests <= 1.5 * 1.5 * 4 + 5);
}

TEST_CASE("A rate limit that can't be read changes nothing")
{
    // Guards against a target that gets nothing, or is taken out, because of one odd header.
    for (const std::string text : { "", "-1", "nan", "inf", "1e999", "many", "3;4" }) {
        ScriptedTarget target(answering([&](const std::string &) {
            return soundAnswer("read", "Request-Id: r1\r\nRate-Limit: " + text + "\r\n");
        }));
        GatewayFixture fixture;
        fixture.applyRules();
        fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
        CAPTURE(text);
        for (int i = 0; i < 10; ++i) {
            CHECK(fixture.call("GET", "/read/a").status == 200);
        }
    }
}
