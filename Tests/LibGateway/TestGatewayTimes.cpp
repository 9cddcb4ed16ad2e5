#include <LibGateway/GatewayFixture.h>

#include <Poco/Net/NetException.h>

#include <array>

using namespace Sapphire;

namespace {

/// Takes requests and never answers them. Counts those whose connection the gateway reset.
ScriptedTarget::Script silent(std::atomic<int> &begun, std::atomic<int> &dropped)
{
    return [&](Poco::Net::StreamSocket &socket) {
        if (ScriptedTarget::readHead(socket).empty()) {
            return;
        }
        ++begun;
        char byte = 0;
        try {
            socket.receiveBytes(&byte, 1);
        } catch (const Poco::Net::ConnectionResetException &) {
            ++dropped;
        }
    };
}

Milliseconds since(TimePoint begin)
{
    return std::chrono::duration_cast<Milliseconds>(BootClock().now() - begin);
}

} // namespace

TEST_CASE("A request without an answer ends at its route's timeout, and its target drops it")
{
    // Guards against callers that wait too long, and against work on requests that nobody waits for.
    std::atomic<int> begun { 0 };
    std::atomic<int> dropped { 0 };
    ScriptedTarget target(silent(begun, dropped));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(300));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const TimePoint begin = BootClock().now();
    const CallerAnswer answer = fixture.call("POST", "/book/a");
    CHECK(answer.status == 504);
    CHECK(answer.has("Sapphire-Verdict: may-have-run\r\n"));
    CHECK(since(begin) >= Milliseconds(290));
    CHECK(since(begin) < Milliseconds(500));
    std::this_thread::sleep_for(Milliseconds(50));
    CHECK(dropped == 1);
}

TEST_CASE("A request ends at its caller's deadline if that is earlier")
{
    // Guards against work on a request that its caller has given up on.
    std::atomic<int> begun { 0 };
    std::atomic<int> dropped { 0 };
    ScriptedTarget target(silent(begun, dropped));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(3'000));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    const TimePoint begin = BootClock().now();
    CHECK(fixture.call("POST", "/book/a", "Deadline-Ms: 200\r\n").status == 504);
    CHECK(since(begin) < Milliseconds(400));
}

TEST_CASE("A read whose caller disconnects is dropped at once, a booking keeps running")
{
    // Guards against work for callers that have disconnected, and against a booking that is cut while it runs.
    for (const std::string method : { "GET", "POST" }) {
        std::atomic<int> begun { 0 };
        std::atomic<int> dropped { 0 };
        ScriptedTarget target(silent(begun, dropped));
        GatewayFixture fixture;
        fixture.applyRules(Milliseconds(600));
        fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
        {
            Poco::Net::StreamSocket socket = fixture.connect();
            fixture.send(socket,
                         method + (method == "GET" ? " /read/a" : " /book/a")
                             + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n");
            while (begun == 0) {
                std::this_thread::sleep_for(Milliseconds(5));
            }
        }
        std::this_thread::sleep_for(Milliseconds(150));
        CAPTURE(method);
        CHECK(dropped == (method == "GET" ? 1 : 0));
        std::this_thread::sleep_for(Milliseconds(600));
        CHECK(dropped == 1);
    }
}

TEST_CASE("A request whose target accepts no connection is refused as not run")
{
    // Guards against bookings that callers can't send again although no target has received them.
    Poco::Net::SocketAddress closed;
    {
        const ScriptedTarget gone([](Poco::Net::StreamSocket &) {});
        closed = gone.address();
    }
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", closed) });
    const CallerAnswer answer = fixture.call("POST", "/book/a");
    CHECK(answer.status == 503);
    CHECK(answer.has("Sapphire-Verdict: not-run\r\n"));
}

TEST_CASE("Targets that accept no connection don't use up the attempts of a request")
{
    // Guards against requests that are refused while a zone restarts, although other targets could run them.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("served");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    std::vector<TargetListEntry> targets { fixture.targetEntry("t1", target.address()) };
    for (const char *dead : { "t2", "t3", "t4" }) {
        Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        targets.push_back(fixture.targetEntry(dead, socket.address()));
    }
    fixture.applyTargets(targets);
    int served = 0;
    // Each object has another preferred target. The first failures eject the dead targets.
    for (int object = 0; object < 12; ++object) {
        served += fixture.call("POST", "/book/a", "Cookie: object=" + std::to_string(object) + "\r\n").body == "served"
            ? 1
            : 0;
    }
    CHECK(served == 12);
}

TEST_CASE("A leaving target gets no new request, and finishes those that run")
{
    // Guards against new requests to a target that is stopping, and against lost answers of running ones.
    std::atomic<int> requests { 0 };
    ScriptedTarget leaving(answering([&](const std::string &) {
        ++requests;
        std::this_thread::sleep_for(Milliseconds(200));
        return soundAnswer("finished");
    }));
    ScriptedTarget staying(answering([](const std::string &) {
        return soundAnswer("staying");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", leaving.address()) });
    std::future<CallerAnswer> running = std::async(std::launch::async, [&] {
        return fixture.call("POST", "/book/a");
    });
    while (requests == 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    TargetListEntry draining = fixture.targetEntry("t1", leaving.address());
    draining.isDraining = true;
    fixture.applyTargets({ draining, fixture.targetEntry("t2", staying.address()) });
    for (int i = 0; i < 5; ++i) {
        CHECK(fixture.call("POST", "/book/b").body == "staying");
    }
    CHECK(running.get().body == "finished");
    CHECK(requests == 1);
}

TEST_CASE("Nothing is sent to an evacuated zone or outside the allowed regions")
{
    // Guards against requests in zones and regions that operators have closed.
    ScriptedTarget here(answering([](const std::string &) {
        return soundAnswer("cuyo");
    }));
    ScriptedTarget there(answering([](const std::string &) {
        return soundAnswer("pampa");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets(
        { fixture.targetEntry("t1", here.address()), fixture.targetEntry("t2", there.address(), "pampa-a") });
    fixture.run([&] {
        fixture.gateway().applyEvacuations({ AvailabilityZoneId("cuyo-a") });
    });
    CHECK(fixture.call("GET", "/read/a").body == "pampa");
    fixture.applyRules(Milliseconds(300), 0, { RegionId("cuyo") });
    CHECK(fixture.call("GET", "/read/a").status == 503);
    fixture.run([&] {
        fixture.gateway().applyEvacuations({});
    });
    CHECK(fixture.call("GET", "/read/a").body == "cuyo");
}

TEST_CASE("A customer beyond its rate is refused as not run, with a retry time")
{
    // Guards against a customer that takes the capacity of the others.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("done");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(1'000), 5);
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 60; ++i) {
        const CallerAnswer answer = fixture.call("GET", "/keyed/a", "Authorization: Bearer secret\r\n");
        served += answer.status == 200 ? 1 : 0;
        if (answer.status == 429) {
            ++refused;
            CHECK(answer.has("Retry-After: "));
        }
    }
    CHECK(served + refused == 60);
    CHECK(refused > 0);
}

TEST_CASE("A VM without a share of a customer's rate tells its callers to come back soon")
{
    // Guards against a Retry-After header in the far future because this VM alone has no tokens.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("done");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(1'000), 1);
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    std::vector<RendezvousCandidate> vms;
    for (int i = 1; i <= 60; ++i) {
        vms.push_back({ VmId("vm-" + std::to_string(i)), RegionId("cuyo") });
    }
    fixture.run([&] {
        fixture.gateway().applyVms(VmsByRegion(vms));
    });
    const CallerAnswer answer = fixture.call("GET", "/keyed/a", "Authorization: Bearer secret\r\nDeadline-Ms: 900\r\n");
    REQUIRE(answer.status == 429);
    const std::string name = "Retry-After: ";
    const std::size_t begin = answer.head.find(name);
    REQUIRE(begin != std::string::npos);
    CHECK(std::stod(answer.head.substr(begin + name.size())) <= 0.3);
}

TEST_CASE("A planned stop finishes running requests, then refuses new ones as not run, then ends")
{
    // Guards against requests that are cut by a planned stop.
    std::atomic<int> begun { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        ++begun;
        std::this_thread::sleep_for(Milliseconds(300));
        return soundAnswer("finished");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    std::future<CallerAnswer> running = std::async(std::launch::async, [&] {
        return fixture.call("POST", "/book/a");
    });
    while (begun == 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    const auto isReady = [&fixture] {
        bool result = false;
        fixture.run([&] {
            result = fixture.gateway().isReady();
        });
        return result;
    };
    CHECK(isReady());
    const std::future<void> stopped = fixture.leave();
    CHECK(!isReady());
    CHECK(running.get().body == "finished");
    std::this_thread::sleep_for(Milliseconds(200));
    const CallerAnswer late = fixture.call("POST", "/book/a");
    CHECK(late.status == 503);
    CHECK(late.has("Sapphire-Verdict: not-run\r\n"));
    stopped.wait();
}

TEST_CASE("A planned stop answers requests that still run at its end")
{
    // Guards against a connection that ends without an answer when a request takes longer than the stop.
    std::atomic<int> begun { 0 };
    std::atomic<int> dropped { 0 };
    ScriptedTarget target(silent(begun, dropped));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(10'000));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    std::future<CallerAnswer> running = std::async(std::launch::async, [&] {
        return fixture.call("POST", "/book/a");
    });
    while (begun == 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    const std::future<void> stopped = fixture.leave();
    REQUIRE(running.wait_for(Milliseconds(1'500)) == std::future_status::ready);
    const CallerAnswer answer = running.get();
    CHECK(answer.status == 504);
    CHECK(answer.has("Sapphire-Verdict: may-have-run\r\n"));
    stopped.wait();
}

TEST_CASE("A planned stop sends no target a booking that it would have to cut")
{
    // Guards against bookings that are passed on late in a stop and cut at its end, so that nobody knows if they ran.
    std::atomic<int> begun { 0 };
    ScriptedTarget target(answering([&](const std::string &) {
        ++begun;
        std::this_thread::sleep_for(Milliseconds(650));
        return soundAnswer("finished");
    }));
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(10'000));
    TargetListEntry entry = GatewayFixture::targetEntry("t1", target.address());
    entry.slots = 1;
    fixture.applyTargets({ entry });
    const auto book = [&fixture] {
        return std::async(std::launch::async, [&fixture] {
            return fixture.call("POST", "/book/a");
        });
    };
    std::future<CallerAnswer> running = book();
    while (begun == 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    // The target has one slot, so that these wait.
    constexpr std::size_t waitingCount = 4;
    std::vector<std::future<CallerAnswer>> waiting;
    waiting.reserve(waitingCount);
    for (std::size_t i = 0; i < waitingCount; ++i) {
        waiting.push_back(book());
    }
    Poco::Net::StreamSocket slow = fixture.connect();
    fixture.send(slow, "POST /book/slow HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(50));
    const int begunBefore = begun;
    const std::future<void> stopped = fixture.leave();
    CHECK(running.get().body == "finished");
    fixture.send(slow, "body");
    const CallerAnswer late = fixture.receive(slow);
    CHECK(late.status == 503);
    CHECK(late.has("Sapphire-Verdict: not-run\r\n"));
    for (std::future<CallerAnswer> &request : waiting) {
        const CallerAnswer answer = request.get();
        CHECK(answer.status == 503);
        CHECK(answer.has("Sapphire-Verdict: not-run\r\n"));
    }
    stopped.wait();
    CHECK(begun == begunBefore);
}

TEST_CASE("A planned stop serves requests on connections that are already open")
{
    // Guards against a connection that is closed while the caller's request is on its way.
    ScriptedTarget target(answering([](const std::string &) {
        return soundAnswer("finished");
    }));
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    Poco::Net::StreamSocket fresh = fixture.connect();
    Poco::Net::StreamSocket kept = fixture.connect();
    const std::string request = "GET /read/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n";
    fixture.send(kept, request);
    std::string first;
    while (!first.ends_with("finished")) {
        std::array<char, 4'096> buffer {};
        const int count = kept.receiveBytes(buffer.data(), buffer.size());
        REQUIRE(count > 0);
        first.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const std::future<void> stopped = fixture.leave();
    std::this_thread::sleep_for(Milliseconds(150));
    for (Poco::Net::StreamSocket *const socket : { &fresh, &kept }) {
        fixture.send(*socket, request);
        const CallerAnswer answer = fixture.receive(*socket);
        CHECK(answer.body == "finished");
        CHECK(answer.has("Connection: close\r\n"));
    }
    stopped.wait();
}

TEST_CASE("A request that crashes its targets is not sent to one after the other")
{
    // Guards against a request that takes down a service while its caller sends it again and again.
    std::atomic<int> crashes { 0 };
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<TargetListEntry> entries;
    const auto script = [&](Poco::Net::StreamSocket &socket) {
        const std::string head = ScriptedTarget::readHead(socket);
        if (head.starts_with("GET /health ")) {
            // The target has restarted, with empty caches.
            ScriptedTarget::write(socket,
                                  "HTTP/1.1 200 OK\r\nCold-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        } else if (!head.empty()) {
            ++crashes;
        }
    };
    for (int i = 0; i < 8; ++i) {
        targets.push_back(std::make_unique<ScriptedTarget>(script));
        entries.push_back(GatewayFixture::targetEntry("t" + std::to_string(i), targets.back()->address()));
    }
    GatewayFixture fixture;
    fixture.applyRules();
    fixture.applyTargets(entries);
    for (int i = 0; i < 12; ++i) {
        fixture.call("POST", "/book/poison", "", "same body");
        std::this_thread::sleep_for(Milliseconds(60));
    }
    CHECK(crashes >= 1);
    CHECK(crashes <= 2);
}

TEST_CASE("A target that passes its health check and ignores requests gets one request at a time")
{
    // Guards against a silent target that costs several callers their requests after each health check.
    std::atomic<int> ignored { 0 };
    ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
        const std::string head = ScriptedTarget::readHead(socket);
        if (head.starts_with("GET /health ")) {
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        } else if (!head.empty()) {
            ++ignored;
            char byte = 0;
            socket.receiveBytes(&byte, 1);
        }
    });
    GatewayFixture fixture;
    fixture.applyRules(Milliseconds(200));
    fixture.applyTargets({ fixture.targetEntry("t1", target.address()) });
    constexpr int failuresToEject = 3;
    for (int i = 0; i < failuresToEject; ++i) {
        fixture.call("POST", "/book/a");
    }
    CHECK(ignored == failuresToEject);
    // Time for the first health check after the target was ejected.
    std::this_thread::sleep_for(Milliseconds(600));
    constexpr std::size_t callers = 4;
    std::vector<std::future<CallerAnswer>> answers;
    answers.reserve(callers);
    while (answers.size() < callers) {
        answers.push_back(std::async(std::launch::async, [&fixture] {
            return fixture.call("POST", "/book/a");
        }));
    }
    for (std::future<CallerAnswer> &answer : answers) {
        answer.wait();
    }
    CHECK(ignored == failuresToEject + 1);
}
