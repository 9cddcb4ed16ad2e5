#include <LibCore/BootClock.h>
#include <LibCore/ManualClock.h>
#include <LibRequest/IssuedRequestId.h>
#include <LibRequest/RequestLedger.h>

#include <Fakes/FakeTableService.h>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace Sapphire;

namespace {

const CustomerId customer("bodega-1");

RequestKey keyOf(const std::string &id)
{
    return { customer, RequestId(id) };
}

/// A process of a VM. Replacing it loses what it has in memory.
struct Process
{
    Process(FakeTableService &service, const Clock &clock, const std::string &vm, std::uint64_t incarnation)
        : table(service)
        , journal(table, clock)
        , ledger(table, journal, clock, { { VmId(vm), Incarnation(incarnation) } })
    {
    }

    ClaimTable table;
    ClaimJournal journal;
    RequestLedger ledger;
};

Deadline soon(const Clock &clock)
{
    return Deadline::after(clock.now(), Milliseconds(1'000));
}

} // namespace

TEST_CASE("RequestLedger runs a caller-chosen id once although the answer to its claim was lost")
{
    // Guards against treating a lost answer as a failed claim or as a claim of another process.
    const BootClock clock;
    FakeTableService service;
    Process first(service, clock, "vm-1", 1);
    Process second(service, clock, "vm-2", 1);
    service.loseAnswers(1);
    CHECK(std::holds_alternative<RequestLedger::Started>(first.ledger.begin(keyOf("a"), soon(clock))));
    const auto other = second.ledger.begin(keyOf("a"), soon(clock));
    REQUIRE(std::holds_alternative<Refusal>(other));
    CHECK(std::get<Refusal>(other).verdict == Verdict::MayHaveRun);
    first.ledger.finish(keyOf("a"), Verdict::Ran, { 201, {}, "booked", true, TargetId("t") });
    REQUIRE(first.journal.flush(soon(clock)));
    const auto replay = second.ledger.begin(keyOf("a"), soon(clock));
    REQUIRE(std::holds_alternative<RequestLedger::Replay>(replay));
    CHECK(std::get<RequestLedger::Replay>(replay).answer.body == "booked");
}

TEST_CASE("RequestLedger lets another VM run a caller-chosen id that has not run")
{
    const BootClock clock;
    FakeTableService service;
    Process first(service, clock, "vm-1", 1);
    Process second(service, clock, "vm-2", 1);
    CHECK(std::holds_alternative<RequestLedger::Started>(first.ledger.begin(keyOf("a"), soon(clock))));
    first.ledger.finish(keyOf("a"), Verdict::NotRun, {});
    CHECK(std::holds_alternative<RequestLedger::Started>(second.ledger.begin(keyOf("a"), soon(clock))));
    CHECK(first.ledger.state(keyOf("a"), soon(clock)).state == RequestState::MayHaveRun);
}

TEST_CASE("RequestLedger runs issued ids during an outage of the store and journals them afterwards")
{
    // Guards against refusing issued ids while the store is down, and against losing their results.
    const BootClock clock;
    FakeTableService service;
    Process first(service, clock, "vm-1", 1);
    Process second(service, clock, "vm-2", 1);
    service.setDown(true);
    const RequestKey issued = keyOf(first.ledger.issuedPrefix() + "order-1");
    CHECK(std::holds_alternative<RequestLedger::Started>(first.ledger.begin(issued, soon(clock))));
    const auto again = first.ledger.begin(issued, soon(clock));
    REQUIRE(std::holds_alternative<Refusal>(again));
    CHECK(std::get<Refusal>(again).verdict == Verdict::MayHaveRun);
    first.ledger.finish(issued, Verdict::Ran, { 201, {}, "booked", true, TargetId("t") });
    CHECK(std::holds_alternative<RequestLedger::Replay>(first.ledger.begin(issued, soon(clock))));
    CHECK(second.ledger.state(issued, soon(clock)).state == RequestState::MayHaveRun);

    const auto callerChosen = first.ledger.begin(keyOf("free"), soon(clock));
    REQUIRE(std::holds_alternative<Refusal>(callerChosen));
    // An earlier attempt with the same id can't be ruled out while the table can't be read.
    CHECK(std::get<Refusal>(callerChosen).verdict == Verdict::MayHaveRun);

    service.setDown(false);
    REQUIRE(first.journal.flush(Deadline::after(clock.now(), Milliseconds(3'000))));
    CHECK(second.ledger.state(issued, soon(clock)).state == RequestState::Ran);
}

TEST_CASE("RequestLedger answers may-have-run for an issued id whose process is gone")
{
    // Guards against running an id again because the new process has no memory of it.
    const BootClock clock;
    FakeTableService service;
    auto first = std::make_unique<Process>(service, clock, "vm-1", 1);
    const RequestKey issued = keyOf(first->ledger.issuedPrefix() + "order-1");
    service.setDown(true);
    CHECK(std::holds_alternative<RequestLedger::Started>(first->ledger.begin(issued, soon(clock))));
    first.reset();
    service.setDown(false);
    Process replacement(service, clock, "vm-1", 2);
    const auto again = replacement.ledger.begin(issued, soon(clock));
    REQUIRE(std::holds_alternative<Refusal>(again));
    CHECK(std::get<Refusal>(again).verdict == Verdict::MayHaveRun);
    CHECK(replacement.ledger.state(issued, soon(clock)).state == RequestState::MayHaveRun);
}

TEST_CASE("RequestLedger refuses issued ids that are too old for it to remember")
{
    ManualClock clock;
    FakeTableService service;
    Process process(service, clock, "vm-1", 1);
    const RequestKey issued = keyOf(process.ledger.issuedPrefix() + "order-1");
    clock.advance(std::chrono::minutes(62));
    const auto late = process.ledger.begin(issued, soon(clock));
    REQUIRE(std::holds_alternative<Refusal>(late));
    CHECK(std::get<Refusal>(late).verdict == Verdict::MayHaveRun);
}

TEST_CASE("No id runs twice, and no request that is reported as not run has run, over seeded schedules")
{
    // Callers send each id to any of three VMs, with outages of the store, lost answers and replaced processes.
    // If the row were not read back after a lost answer, this test would find ids that are refused for good as claimed
    // by another process although the refusing process itself claimed them.
    const BootClock clock;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        RandomSource random(seed);
        FakeTableService service;
        std::vector<std::unique_ptr<Process>> processes;
        std::uint64_t incarnation = 0;
        processes.reserve(3);
        for (int vm = 0; vm < 3; ++vm) {
            processes.push_back(std::make_unique<Process>(service, clock, "vm-" + std::to_string(vm), ++incarnation));
        }
        std::map<std::string, int> runs;
        std::vector<std::string> ids { "free-1", "free-2" };
        for (const auto &process : processes) {
            ids.push_back(process->ledger.issuedPrefix() + "x");
        }
        for (int step = 0; step < 60; ++step) {
            const std::size_t vm = random.below(3);
            switch (random.below(8)) {
            case 0:
                service.setDown(random.below(2) == 0);
                break;
            case 1:
                service.loseAnswers(1);
                break;
            case 2:
                processes[vm] = std::make_unique<Process>(service, clock, "vm-" + std::to_string(vm), ++incarnation);
                break;
            default: {
                const std::string &id = ids[random.below(ids.size())];
                Process &process = *processes[vm];
                const auto result = process.ledger.begin(keyOf(id), soon(clock));
                if (std::holds_alternative<RequestLedger::Started>(result)) {
                    const auto verdict = static_cast<Verdict>(random.below(3));
                    const bool hasRun =
                        verdict == Verdict::Ran || (verdict == Verdict::MayHaveRun && random.below(2) == 0);
                    runs[id] += hasRun ? 1 : 0;
                    CHECK(runs[id] <= 1);
                    if (random.below(5) == 0) {
                        processes[vm] =
                            std::make_unique<Process>(service, clock, "vm-" + std::to_string(vm), ++incarnation);
                    } else {
                        process.ledger.finish(keyOf(id), verdict, { 200, {}, "", true, TargetId("t") });
                    }
                }
                const RequestRecord state = processes[vm]->ledger.state(keyOf(id), soon(clock));
                if (state.state == RequestState::NotRun) {
                    CHECK(runs[id] == 0);
                }
                if (state.state == RequestState::Ran) {
                    CHECK(runs[id] == 1);
                }
                break;
            }
            }
        }
    }
}
