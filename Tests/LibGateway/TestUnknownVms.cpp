#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

namespace {

const std::string key = "Authorization: Bearer secret\r\n";

} // namespace

TEST_CASE("Until the list of VMs is known, requests of a limited customer are refused as not run, and soon welcome")
{
    // Guards against VMs that start during an outage of the store and admit a limited customer without a limit, because
    // they know the rules before the VMs that share the limit.
    std::atomic<int> runs { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        ++runs;
        return soundAnswer("ok");
    }));
    GatewayFixture fixture(false);
    fixture.applyRules(Milliseconds(1'000), 20);
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    for (int i = 0; i < 10; ++i) {
        const CallerAnswer answer = fixture.call("GET", "/keyed/a", key);
        CHECK(answer.status == 503);
        CHECK(answer.has("Sapphire-Verdict: not-run\r\n"));
        CHECK(answer.has("Retry-After: 0.1"));
    }
    CHECK(runs == 0);
    CHECK(fixture.call("GET", "/read/a").status == 200);
    fixture.applyVms();
    std::this_thread::sleep_for(Milliseconds(200));
    CHECK(fixture.call("GET", "/keyed/a", key).status == 200);
}

TEST_CASE("Until the list of VMs is known, requests of a customer without a limit run")
{
    // Guards against callers who are refused for a limit that they don't have.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("ok");
    }));
    GatewayFixture fixture(false);
    fixture.applyRules(Milliseconds(1'000), 0);
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    CHECK(fixture.call("GET", "/keyed/a", key).status == 200);
}
