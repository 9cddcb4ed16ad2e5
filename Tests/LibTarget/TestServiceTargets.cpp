#include <LibTarget/ServiceTargets.h>

#include <LibCore/BootClock.h>
#include <LibTarget/MemoryBody.h>
#include <LibTarget/MemorySink.h>
#include <LibTarget/ScriptedTarget.h>
#include <LibTarget/StandInRunner.h>

#include <Poco/JSON/Parser.h>

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>

using namespace Sapphire;

namespace {

class DeathRecorder final : public TargetDeathListener
{
public:
    void targetDied(const TargetDeath &death) override
    {
        const std::lock_guard guard(m_mutex);
        deaths.push_back(death);
    }

    std::vector<TargetDeath> deaths;

private:
    std::mutex m_mutex;
};

Configuration configurationOf(const std::vector<std::string> &addresses, int slots = 4)
{
    Configuration configuration;
    configuration.services[ServiceId("status")].id = ServiceId("status");
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        TargetRecord record;
        record.id = TargetId("t" + std::to_string(i));
        record.service = ServiceId("status");
        record.locality = { RegionId("r"), AvailabilityZoneId("z") };
        record.address = addresses[i];
        record.slots = slots;
        configuration.targets[record.id] = record;
    }
    return configuration;
}

struct Fixture
{
    explicit Fixture(const Configuration &configuration) : targets({ VmId("vm-1"), RegionId("r") }, clock, &recorder)
    {
        targets.update(configuration, { VmId("vm-1") });
    }
    explicit Fixture(const StandInRunner &standIn, int count, int slots = 4)
        : Fixture(configurationOf(addresses(standIn, count), slots))
    {
    }

    static std::vector<std::string> addresses(const StandInRunner &standIn, int count)
    {
        std::vector<std::string> list;
        list.reserve(count);
        for (int i = 0; i < count; ++i) {
            list.push_back(standIn.addressOf("t" + std::to_string(i)));
        }
        return list;
    }

    RequestHead head(const std::string &path, Milliseconds timeout = Milliseconds(2000)) const
    {
        RequestHead request;
        request.service = ServiceId("status");
        request.method = "GET";
        request.path = path;
        request.deadline = Deadline::after(clock.now(), timeout);
        request.bodyBytes = 0;
        return request;
    }
    ExchangeReport run(const RequestHead &request, const std::string &text = "", const std::string &fingerprint = "f")
    {
        MemoryBody body(text);
        sink.emplace();
        return targets.run(request, body, *sink, { fingerprint, [this](const AttemptReport &) {
                                                      ++retries;
                                                      return mayRetry;
                                                  } });
    }

    BootClock clock;
    DeathRecorder recorder;
    ServiceTargets targets;
    std::optional<MemorySink> sink;
    int retries { 0 };
    bool mayRetry { true };
};

std::string closedAddress()
{
    Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
    return unused.address().toString();
}

} // namespace

TEST_CASE("ServiceTargets tries another target after a shed or refused attempt, as far as the budget allows")
{
    // Guards against refusals although another target has capacity, and against retries beyond the budget.
    const StandInRunner standIn(StandInRunner::settings(2, 4, Milliseconds(0)));
    const std::string dead = closedAddress();
    Fixture fixture(configurationOf({ standIn.addressOf("t0"), standIn.addressOf("t1"), dead }));
    standIn.control("set?target=t0&shedAll=1");
    RequestHead request = fixture.head("/?echo=1");
    request.method = "POST";
    request.isIdempotent = false;
    request.bodyBytes = 40'000;
    const std::string text(40'000, 'b');
    for (int i = 0; i < 20; ++i) {
        const ExchangeReport report = fixture.run(request, text);
        CHECK_FALSE(report.refusal);
        CHECK(fixture.sink->body == text);
        CHECK(fixture.sink->head.target == TargetId("t1"));
    }
    CHECK(fixture.retries > 0);
    fixture.mayRetry = false;
    standIn.control("set?target=t1&shedAll=1");
    const ExchangeReport report = fixture.run(request, text);
    REQUIRE(report.refusal);
    CHECK(report.refusal->verdict == Verdict::NotRun);
}

TEST_CASE("ServiceTargets sends nothing to a target in the pause that it has asked for")
{
    // Guards against a target in need that gets its usual load, and against requests that wait for it in vain.
    std::atomic<int> atPaused { 0 };
    ScriptedTarget paused([&atPaused](Poco::Net::StreamSocket &socket) {
        while (!ScriptedTarget::readHead(socket).empty()) {
            const bool isFirst = ++atPaused == 1;
            ScriptedTarget::write(socket,
                                  isFirst ? "HTTP/1.1 503 Busy\r\nSapphire-Shed: 1\r\nRetry-After: 1.2\r\n"
                                            "Content-Length: 0\r\n\r\n"
                                          : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    Fixture fixture(configurationOf({ paused.address().toString() }));
    CHECK(fixture.run(fixture.head("/")).refusal);
    const TimePoint start = fixture.clock.now();
    const ExchangeReport refused = fixture.run(fixture.head("/"));
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->verdict == Verdict::NotRun);
    CHECK(fixture.clock.now() - start < Milliseconds(100));
    REQUIRE(refused.refusal->retryAt);
    CHECK(refused.refusal->retryAt->remaining(start) > Milliseconds(1'000));
    while (fixture.clock.now() - start < Milliseconds(1'100)) {
        CHECK(fixture.run(fixture.head("/")).refusal);
        std::this_thread::sleep_for(Milliseconds(50));
    }
    CHECK(atPaused == 1);
    std::this_thread::sleep_for(Milliseconds(150));
    CHECK_FALSE(fixture.run(fixture.head("/")).refusal);
}

TEST_CASE("ServiceTargets never sends a booking again that may have run")
{
    // Guards against a second run after a lost connection, and against an idempotent request that is not retried.
    const auto reset = [](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::readHead(socket);
    };
    const ScriptedTarget first(reset);
    const ScriptedTarget second(reset);
    Fixture fixture(configurationOf({ first.address().toString(), second.address().toString() }));
    RequestHead request = fixture.head("/");
    request.method = "POST";
    request.isIdempotent = false;
    ExchangeReport report = fixture.run(request);
    REQUIRE(report.refusal);
    CHECK(report.refusal->verdict == Verdict::MayHaveRun);
    CHECK(fixture.retries == 0);
    report = fixture.run(fixture.head("/"));
    REQUIRE(report.refusal);
    CHECK(report.refusal->verdict == Verdict::MayHaveRun);
    CHECK(fixture.retries > 0);
}

TEST_CASE("ServiceTargets reports which requests ran when a target died")
{
    // Guards against a request that crashes one target after the other without being detected.
    const StandInRunner standIn(StandInRunner::settings(2, 4, Milliseconds(0)));
    Fixture fixture(standIn, 2);
    standIn.control("set?target=*&crashText=poison");
    RequestHead request = fixture.head("/poison");
    request.isIdempotent = false;
    const ExchangeReport report = fixture.run(request, "", "poison-print");
    REQUIRE(report.refusal);
    CHECK(report.refusal->verdict == Verdict::MayHaveRun);
    REQUIRE(fixture.recorder.deaths.size() == 1);
    CHECK(fixture.recorder.deaths[0].areAllKnown);
    CHECK(fixture.recorder.deaths[0].fingerprints == std::vector<std::string> { "poison-print" });

    SUBCASE("every request in flight is reported once")
    {
        const std::string victim = fixture.recorder.deaths[0].target == TargetId("t0") ? "t1" : "t0";
        std::vector<std::thread> callers;
        callers.reserve(3);
        for (int i = 0; i < 3; ++i) {
            callers.emplace_back([&, i] {
                MemoryBody body;
                MemorySink sink;
                RequestHead slow = fixture.head("/?sleep=2000", Milliseconds(3000));
                slow.isIdempotent = false;
                fixture.targets.run(slow, body, sink, { "print-" + std::to_string(i) });
            });
        }
        standIn.waitForInFlight(3);
        standIn.control("set?target=" + victim + "&down=1");
        for (std::thread &caller : callers) {
            caller.join();
        }
        REQUIRE(fixture.recorder.deaths.size() == 2);
        CHECK(fixture.recorder.deaths[1].fingerprints.size() == 3);
    }
}

TEST_CASE("ServiceTargets sends no requests to a drained target and lets running ones finish")
{
    // Guards against new requests to a draining target and against interrupted ones.
    const StandInRunner standIn(StandInRunner::settings(2, 4, Milliseconds(0)));
    Configuration configuration = configurationOf(Fixture::addresses(standIn, 2));
    Fixture fixture(configuration);
    std::vector<std::thread> callers;
    callers.reserve(4);
    std::atomic<int> finished { 0 };
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            MemoryBody body;
            MemorySink sink;
            finished += fixture.targets.run(fixture.head("/?sleep=200"), body, sink, {}).refusal ? 0 : 1;
        });
    }
    standIn.waitForInFlight(4);
    configuration.targets[TargetId("t0")].isDrained = true;
    fixture.targets.update(configuration, { VmId("vm-1") });
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(fixture.run(fixture.head("/")).refusal);
        CHECK(fixture.sink->head.target == TargetId("t1"));
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(finished == 4);
    CHECK(fixture.targets.regionUsages()[0].slots == 4);
}

TEST_CASE("ServiceTargets recovers from silent connections within one deadline")
{
    // Guards against a pool whose connections have all gone silent and that loses one request for each of them.
    const StandInRunner standIn(StandInRunner::settings(2, 8, Milliseconds(0)));
    Fixture fixture(standIn, 2, 8);
    const auto runMany = [&](const std::string &path, Milliseconds timeout) {
        std::vector<std::thread> callers;
        callers.reserve(12);
        std::atomic<int> answered { 0 };
        for (int i = 0; i < 12; ++i) {
            callers.emplace_back([&] {
                MemoryBody body;
                MemorySink sink;
                answered += fixture.targets.run(fixture.head(path, timeout), body, sink, {}).refusal ? 0 : 1;
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return answered.load();
    };
    CHECK(runMany("/?sleep=100", Milliseconds(2000)) == 12);
    standIn.control("set?target=*&silence=1");
    runMany("/", Milliseconds(250));
    CHECK(runMany("/", Milliseconds(250)) == 12);
}

TEST_CASE("ServiceTargets sends no request on a connection that went silent just after another one")
{
    // Guards against a connection on which an answer arrived after the first request that went silent, and that went
    // silent too: it would cost one more request its deadline.
    std::atomic<int> atOnce { 0 };
    std::atomic<int> unanswered { 0 };
    std::atomic<bool> isSilent { false };
    const ScriptedTarget target([&](Poco::Net::StreamSocket &socket) {
        const bool isNew = isSilent;
        for (std::string head = ScriptedTarget::readHead(socket); !head.empty();
             head = ScriptedTarget::readHead(socket)) {
            if (!isNew && (isSilent || head.starts_with("GET /silent "))) {
                ++unanswered;
                continue;
            }
            // Each of the first two requests needs a connection of its own.
            atOnce += head.starts_with("GET /at-once ") ? 1 : 0;
            while (atOnce == 1) {
                std::this_thread::sleep_for(Milliseconds(1));
            }
            ScriptedTarget::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    Fixture fixture(configurationOf({ target.address().toString() }));
    const auto isAnswered = [&fixture](const std::string &path) {
        MemoryBody body;
        MemorySink sink;
        return !fixture.targets.run(fixture.head(path), body, sink, {}).refusal;
    };
    std::future<bool> first = std::async(std::launch::async, isAnswered, "/at-once");
    REQUIRE(isAnswered("/at-once"));
    REQUIRE(first.get());
    std::future<bool> silent = std::async(std::launch::async, isAnswered, "/silent");
    while (unanswered == 0) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
    REQUIRE(isAnswered("/"));
    REQUIRE(target.accepted() == 2);
    isSilent = true;
    CHECK_FALSE(silent.get());
    CHECK(isAnswered("/"));
    CHECK(unanswered == 1);
}

TEST_CASE("ServiceTargets runs the request of a failed trial elsewhere within its deadline")
{
    // Guards against trials that use up a caller's whole deadline, and against a trial with every request.
    const ScriptedTarget frozen([](Poco::Net::StreamSocket &socket) {
        ScriptedTarget::readHead(socket);
        ScriptedTarget::readHead(socket);
    });
    const StandInRunner standIn(StandInRunner::settings(1, 4, Milliseconds(0)));
    Fixture fixture(configurationOf({ standIn.addressOf("t0"), frozen.address().toString() }));
    fixture.targets.takeReport({ TargetId("t1"), VmId("vm-2"), fixture.clock.now(), TargetHealth::Failing });
    const TimePoint start = fixture.clock.now();
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(fixture.run(fixture.head("/", Milliseconds(5000))).refusal);
    }
    CHECK(fixture.clock.now() - start < Milliseconds(1500));
    CHECK(frozen.accepted() == 1);
}

TEST_CASE("ServiceTargets lets a request wait for capacity only while its deadline allows it")
{
    // Guards against refusals although a slot becomes free in time, and against waits that can't succeed.
    const StandInRunner standIn(StandInRunner::settings(1, 1, Milliseconds(0)));
    Fixture fixture(standIn, 1, 1);
    std::thread caller([&] {
        MemoryBody body;
        MemorySink sink;
        CHECK_FALSE(fixture.targets.run(fixture.head("/?sleep=100"), body, sink, {}).refusal);
    });
    std::this_thread::sleep_for(Milliseconds(20));
    const TimePoint start = fixture.clock.now();
    const ExchangeReport refused = fixture.run(fixture.head("/", Milliseconds(30)));
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->verdict == Verdict::NotRun);
    CHECK(nameOf(refused.refusal->reason) == "no-capacity");
    CHECK(fixture.clock.now() - start < Milliseconds(60));
    CHECK_FALSE(fixture.run(fixture.head("/")).refusal);
    caller.join();
}

TEST_CASE("ServiceTargets keeps to the slots of targets under many callers")
{
    // Guards against more requests in flight at a target than it has slots, and against requests that are counted as in
    // flight forever.
    const StandInRunner standIn(StandInRunner::settings(3, 4, Milliseconds(2)));
    Fixture fixture(standIn, 3, 2);
    std::vector<std::thread> callers;
    callers.reserve(8);
    std::atomic<int> wrong { 0 };
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            for (int j = 0; j < 40; ++j) {
                MemoryBody body;
                MemorySink sink;
                const std::string path = "/" + std::to_string(i) + "/" + std::to_string(j);
                const ExchangeReport report = fixture.targets.run(fixture.head(path), body, sink, {});
                wrong += report.refusal || sink.body.find("\"" + path + "\"") == std::string::npos ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(wrong == 0);
    const std::string counters = standIn.control("counters");
    CAPTURE(counters);
    CHECK(counters.find(R"("mostInFlight":3)") == std::string::npos);
    CHECK(counters.find(R"("mostInFlight":4)") == std::string::npos);
    CHECK(fixture.targets.regionUsages()[0].busy == 0);
}

TEST_CASE("ServiceTargets gives correct verdicts while targets crash, shed, cut answers and go silent")
{
    // Guards against the verdict "not run" for a request that ran, a booking that ran twice and an answer to another
    // request.
    constexpr int targetCount = 4;
    const std::uint64_t seed = 20;
    CAPTURE(seed);
    StandInSettings settings = StandInRunner::settings(targetCount, 3, Milliseconds(2));
    const StandInRunner standIn(settings);
    Fixture fixture(standIn, targetCount, 4);
    std::atomic<bool> isOver { false };
    std::mutex mutex;
    std::map<std::string, Verdict> verdicts;
    std::atomic<int> wrongAnswers { 0 };
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            for (int j = 0; !isOver; ++j) {
                const std::string id = std::to_string(i) + "-" + std::to_string(j);
                RequestHead request = fixture.head("/" + id, Milliseconds(60));
                request.id = RequestId(id);
                request.method = "POST";
                request.isIdempotent = false;
                MemoryBody body;
                MemorySink sink;
                const ExchangeReport report = fixture.targets.run(request, body, sink, { id, [](const AttemptReport &) {
                                                                                            return true;
                                                                                        } });
                const bool isOwnAnswer = sink.isFinished && sink.body.find("\"/" + id + "\"") != std::string::npos;
                wrongAnswers += !report.refusal && !isOwnAnswer ? 1 : 0;
                const std::lock_guard guard(mutex);
                verdicts[id] = report.verdict();
            }
        });
    }
    RandomSource random(seed);
    const std::vector<std::string> faults { "down=1",        "down=0",           "shedAll=1",
                                            "shedAll=0",     "silence=1",        "cutAnswers=2",
                                            "cutsByReset=1", "answerDelayMs=80", "answerDelayMs=0" };
    for (int i = 0; i < 50; ++i) {
        const std::string target = "t" + std::to_string(random.below(targetCount));
        standIn.control("set?target=" + target + "&" + faults[random.below(faults.size())]);
        std::this_thread::sleep_for(Milliseconds(10));
    }
    isOver = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::map<std::string, int> runs;
    Poco::JSON::Parser parser;
    const auto ledger = parser.parse(standIn.control("ledger")).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Array::Ptr entries = ledger->getArray("entries");
    for (std::size_t i = 0; i < entries->size(); ++i) {
        ++runs[entries->getObject(i)->getValue<std::string>("id")];
    }
    std::map<Verdict, int> counts;
    for (const auto &entry : verdicts) {
        const std::string &id = entry.first;
        const Verdict verdict = entry.second;
        CAPTURE(id);
        ++counts[verdict];
        CHECK(runs[id] <= 1);
        CHECK((verdict != Verdict::NotRun || runs[id] == 0));
        CHECK((verdict != Verdict::Ran || runs[id] == 1));
    }
    CHECK(wrongAnswers == 0);
    CHECK(counts[Verdict::Ran] > 0);
    CHECK(counts[Verdict::MayHaveRun] > 0);
    MESSAGE("ran ", counts[Verdict::Ran], ", may have run ", counts[Verdict::MayHaveRun], ", not run ",
            counts[Verdict::NotRun]);
}
