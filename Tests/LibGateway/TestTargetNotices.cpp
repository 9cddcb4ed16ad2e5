#include <LibGateway/GatewayFixture.h>

using namespace Sapphire;

namespace {

using SteadyClock = std::chrono::steady_clock;

Milliseconds since(SteadyClock::time_point start)
{
    return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - start);
}

/// Returns a target's refusal of a request that it has not run.
std::string turnedAway(const std::string &headers)
{
    return "HTTP/1.1 503 Service Unavailable\r\nSeal: s\r\nRequest-Id: r1\r\nNot-Run: 1\r\n" + headers
        + "Content-Length: 0\r\n\r\n";
}

/// Returns the seconds of the answer's Retry-After header; 0 if it has none.
double retryAfter(const CallerAnswer &answer)
{
    const std::string name = "Retry-After: ";
    const std::size_t begin = answer.head.find(name);
    return begin == std::string::npos ? 0 : std::stod(answer.head.substr(begin + name.size()));
}

/// Counts requests and health checks, and answers both with the result of the function.
ScriptedTarget::Script counting(std::atomic<int> &requests, std::atomic<int> &checks,
                                std::function<std::string()> answer)
{
    return [&requests, &checks, answer = std::move(answer)](Poco::Net::StreamSocket &socket) {
        for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
             head = ScriptedTarget::readHead(socket)) {
            const bool isCheck = head.starts_with("GET /health ");
            checks += isCheck ? 1 : 0;
            requests += isCheck ? 0 : 1;
            ScriptedTarget::write(socket, answer());
        }
    };
}

void callTimes(GatewayFixture &fixture, int times)
{
    for (int i = 0; i < times; ++i) {
        CHECK(fixture.call("GET", "/read/a").status == 200);
    }
}

} // namespace

TEST_CASE("A target that has said that it is leaving gets nothing new, whatever the list says")
{
    // Guards against requests that reach a target after its end because a stale list still shows it as ready.
    std::atomic<int> atLeaving { 0 };
    std::atomic<int> connectionsEnded { 0 };
    const ScriptedTarget::Script answer = answering([&](const std::string &) {
        ++atLeaving;
        return soundAnswer("old", "Request-Id: r1\r\nLeaving: 1\r\n");
    });
    ScriptedTarget leaving([&](Poco::Net::StreamSocket &socket) {
        answer(socket);
        ++connectionsEnded;
    });
    ScriptedTarget other(answering([](const std::string &) {
        return soundAnswer("other");
    }));
    ScriptedTarget successor(answering([](const std::string &) {
        return soundAnswer("successor");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    TargetListEntry entry = GatewayFixture::targetEntry("t1", leaving.address());
    const TargetListEntry second = GatewayFixture::targetEntry("t2", other.address());
    fixture.applyTargets({ entry });
    CHECK(fixture.call("GET", "/read/a").body == "old");
    entry.sequence = 7;
    entry.slots = 8;
    fixture.applyTargets({ entry, second });
    callTimes(fixture, 10);
    fixture.applyTargets({ second });
    fixture.applyTargets({ entry, second });
    callTimes(fixture, 10);
    CHECK(atLeaving == 1);
    CHECK(connectionsEnded == 1);

    // The id is used again by a later start.
    entry.startedAtMilliseconds = 1;
    entry.address = endpointOf(successor.address()).value();
    fixture.applyTargets({ entry });
    CHECK(fixture.call("GET", "/read/a").body == "successor");
}

TEST_CASE("Every answer of a target can say that it is leaving")
{
    // Guards against a notice that is read in successes only.
    const std::string headers = "Request-Id: r1\r\nLeaving: 1\r\n";
    for (const std::string &answer : { soundAnswer("old", headers), turnedAway("Leaving: 1\r\n"),
                                       "HTTP/1.1 500 Error\r\nSeal: s\r\n" + headers + "Content-Length: 0\r\n\r\n" }) {
        CAPTURE(answer);
        std::atomic<int> atLeaving { 0 };
        ScriptedTarget leaving(answering([&](const std::string &) {
            ++atLeaving;
            return answer;
        }));
        ScriptedTarget other(answering([](const std::string &) {
            return soundAnswer("other");
        }));
        GatewayFixture fixture;
        fixture.applyRules();
        const TargetListEntry entry = GatewayFixture::targetEntry("t1", leaving.address());
        fixture.applyTargets({ entry });
        fixture.call("GET", "/read/a");
        fixture.applyTargets({ entry, GatewayFixture::targetEntry("t2", other.address()) });
        callTimes(fixture, 10);
        CHECK(atLeaving == 1);
    }
}

TEST_CASE("The answer to a health check can say that the target is leaving, unless another target answers")
{
    // Guards against a notice of a stranger at a target's address, and against one that only requests bring.
    for (const std::string id : { "t1", "stranger" }) {
        CAPTURE(id);
        std::atomic<int> requests { 0 };
        std::atomic<int> checks { 0 };
        ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
            for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
                 head = ScriptedTarget::readHead(socket)) {
                if (!head.starts_with("GET /health ")) {
                    if (++requests == 1) {
                        return;
                    }
                    ScriptedTarget::write(socket, soundAnswer("read"));
                    continue;
                }
                // The stranger has the address for one check.
                const bool isLeaving = ++checks == 1 || id == "t1";
                ScriptedTarget::write(socket,
                                      "HTTP/1.1 200 OK\r\nTarget-Id: " + (isLeaving ? id : "t1") + "\r\n"
                                          + (isLeaving ? "Leaving: 1\r\n" : "") + "Content-Length: 0\r\n\r\n");
            }
        });
        GatewayFixture fixture;
        fixture.applyRules(Milliseconds(300));
        fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
        // The connection ends without an answer, so that the target's health is checked.
        CHECK(fixture.call("POST", "/book/a").status == 502);
        const auto start = SteadyClock::now();
        int served = 0;
        while (since(start) < Milliseconds(2'000) && served == 0) {
            std::this_thread::sleep_for(Milliseconds(50));
            served += checks > 0 && fixture.call("GET", "/read/a").status == 200 ? 1 : 0;
        }
        CHECK(served == (id == "t1" ? 0 : 1));
    }
}

TEST_CASE("A 421 of another target does not say that the expected one is leaving")
{
    // Guards against a target that is left unused because its address was another one's for a moment.
    std::atomic<int> requests { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        if (++requests > 1) {
            return soundAnswer("read");
        }
        return std::string("HTTP/1.1 421 Misdirected\r\nRequest-Id: r1\r\nLeaving: 1\r\nRetry-After: 60\r\n"
                           "Content-Length: 0\r\n\r\n");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
    fixture.call("GET", "/read/a");
    const auto start = SteadyClock::now();
    while (fixture.call("GET", "/read/a").status != 200) {
        REQUIRE(since(start) < Milliseconds(3'000));
    }
}

TEST_CASE("What waits is refused at once when the last target says that it is leaving")
{
    // Guards against requests that are held for a target that never takes them.
    ScriptedTarget target(answering([](const std::string &) {
        std::this_thread::sleep_for(Milliseconds(300));
        return soundAnswer("read", "Request-Id: r1\r\nLeaving: 1\r\n");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(4'000));
    TargetListEntry entry = GatewayFixture::targetEntry("t1", target.address());
    entry.slots = 1;
    fixture.applyTargets({ entry });
    const auto start = SteadyClock::now();
    std::vector<std::future<CallerAnswer>> callers;
    constexpr int callerCount = 6;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(std::async(std::launch::async, [&fixture] {
            return fixture.call("GET", "/read/a");
        }));
    }
    int refused = 0;
    for (std::future<CallerAnswer> &caller : callers) {
        const CallerAnswer answer = caller.get();
        refused += answer.status == 503 && retryAfter(answer) > 0 ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(since(start) < Milliseconds(1'500));
    const auto arrival = SteadyClock::now();
    CHECK(fixture.call("GET", "/read/a").status == 503);
    CHECK(since(arrival) < Milliseconds(500));
}

TEST_CASE("A target that has asked for a pause gets nothing until its end, and is not taken for faulty")
{
    // Guards against a target in need that gets its usual load, and against one that is ejected for saying so.
    std::atomic<int> requests { 0 };
    std::atomic<int> checks { 0 };
    std::atomic<bool> isPaused { true };
    ScriptedTarget target(counting(requests, checks, [&isPaused] {
        return isPaused ? turnedAway("Retry-After: 1.5\r\n") : soundAnswer("first");
    }));
    ScriptedTarget other(answering([](const std::string &) {
        return soundAnswer("other");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    const TargetListEntry entry = GatewayFixture::targetEntry("t1", target.address());
    const TargetListEntry second = GatewayFixture::targetEntry("t2", other.address());
    fixture.applyTargets({ entry });
    const auto start = SteadyClock::now();
    CHECK(fixture.call("GET", "/read/a").status == 503);
    isPaused = false;
    fixture.applyTargets({ entry, second });
    while (since(start) < Milliseconds(1'300)) {
        callTimes(fixture, 1);
        fixture.applyTargets({ second });
        fixture.applyTargets({ entry, second });
    }
    CHECK(requests == 1);
    fixture.applyTargets({ entry });
    while (since(start) < Milliseconds(1'700)) {
        std::this_thread::sleep_for(Milliseconds(10));
    }
    CHECK(fixture.call("GET", "/read/a").body == "first");
    CHECK(checks == 0);
}

TEST_CASE("A request that a target turns away without saying that it has not run ejects no target")
{
    // Guards against a target that counts as failed because it asked for a pause, with a seal or without one.
    for (const std::string seal : { "Seal: s\r\n", "" }) {
        CAPTURE(seal);
        std::atomic<int> requests { 0 };
        std::atomic<int> checks { 0 };
        ScriptedTarget target(counting(requests, checks, [&seal] {
            return "HTTP/1.1 503 Busy\r\n" + seal + "Request-Id: r1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n";
        }));
        GatewayFixture fixture;
        fixture.applyRules(Milliseconds(300));
        fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
        for (int i = 0; i < 10; ++i) {
            fixture.call("GET", "/read/a");
            std::this_thread::sleep_for(Milliseconds(60));
        }
        // Several in a row, which would eject it if they counted as failures.
        CHECK(requests > 3);
        CHECK(checks == 0);
    }
}

TEST_CASE("A request is refused on arrival while all targets have asked for a pause")
{
    // Guards against requests that wait for most of their time, and against callers that all return at the same moment
    // or before a target takes requests again.
    std::atomic<int> requests { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        ++requests;
        return turnedAway("Retry-After: 1\r\n");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(3'000));
    fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
    CHECK(fixture.call("GET", "/read/a").status == 503);
    double earliest = 10;
    double latest = 0;
    for (int i = 0; i < 10; ++i) {
        const auto start = SteadyClock::now();
        const CallerAnswer answer = fixture.call("GET", "/read/a");
        CHECK(answer.status == 503);
        CHECK(since(start) < Milliseconds(200));
        earliest = std::min(earliest, retryAfter(answer));
        latest = std::max(latest, retryAfter(answer));
    }
    CHECK(requests == 1);
    CHECK(earliest >= 0.5);
    CHECK(latest <= 2);
    CHECK(latest - earliest > 0.1);
}

TEST_CASE("A pause that can't be read changes nothing")
{
    // Guards against a target that gets nothing because of one odd header.
    for (const std::string text : { "", "-1", "nan", "inf", "1e999", "soon", "Sun, 06 Dec 2026 08:49:37 GMT" }) {
        CAPTURE(text);
        std::atomic<int> requests { 0 };
        ScriptedTarget target(answering([&](const std::string &) {
            return ++requests == 1 ? turnedAway("Retry-After: " + text + "\r\n") : soundAnswer("read");
        }));
        GatewayFixture fixture;
        fixture.applyRules();
        fixture.applyTargets({ GatewayFixture::targetEntry("t1", target.address()) });
        fixture.call("GET", "/read/a");
        callTimes(fixture, 5);
    }
}
