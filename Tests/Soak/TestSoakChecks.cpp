#include <Soak/SoakChecks.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const TimePoint start { Milliseconds(1'000'000) };
const std::string vm = "127.0.0.1:1";

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

CallerRecord requestAt(const std::string &id, const std::string &method, int milliseconds, int status)
{
    return { id, method, vm, at(milliseconds), at(milliseconds + 20), status, false, "ran at t1", "key-1" };
}

WireTargetRun runOf(const CallerRecord &request)
{
    return { request.id, request.method == "POST" ? "/book/1" : "/read/1", "grifo", "t1", request.sentAt };
}

/// A run without violations, in which one request was served after the faults.
SoakRecord healthyRecord()
{
    SoakRecord record;
    record.startedAt = start;
    record.faultsEndedAt = at(10'000);
    record.vmAddresses = { vm };
    record.requests.push_back(requestAt("last", "GET", 16'000, 200));
    record.runs.push_back(runOf(record.requests.back()));
    return record;
}

void add(SoakRecord &record, const CallerRecord &request, int runs)
{
    record.requests.push_back(request);
    for (int i = 0; i < runs; ++i) {
        record.runs.push_back(runOf(request));
    }
}

std::size_t violationCount(const SoakRecord &record)
{
    return SoakChecks(record).run().size();
}

} // namespace

TEST_CASE("SoakChecks reports nothing in a healthy run")
{
    // Guards against false positives.
    SoakRecord record = healthyRecord();
    add(record, requestAt("read", "GET", 100, 200), 2);
    CallerRecord refused = requestAt("refused", "POST", 100, 503);
    refused.saidNotRun = true;
    add(record, refused, 0);
    CHECK(violationCount(record) == 0);
}

TEST_CASE("SoakChecks reports each kind of violation")
{
    // Guards against false negatives.
    SoakRecord record = healthyRecord();
    SUBCASE("a booking that ran twice")
    {
        add(record, requestAt("booking", "POST", 100, 200), 2);
    }
    SUBCASE("a booking that was refused and ran")
    {
        add(record, requestAt("booking", "POST", 100, 503), 1);
    }
    SUBCASE("an answer of a target that did not run the request")
    {
        add(record, requestAt("read", "GET", 100, 200), 0);
    }
    SUBCASE("a request that no caller sent")
    {
        record.runs.push_back({ "unknown", "/read/1", "grifo", "t1", at(100) });
    }
    SUBCASE("a request that is denied although its key is valid")
    {
        add(record, requestAt("read", "GET", 100, 401), 0);
    }
    SUBCASE("a request that a healthy VM does not answer while the store is down")
    {
        record.faults.push_back({ SoakFaultKind::StoreDown, 0, Milliseconds(0), Milliseconds(500) });
        add(record, requestAt("read", "GET", 100, 0), 0);
    }
    SUBCASE("a request that a planned stop interrupts")
    {
        record.faults.push_back({ SoakFaultKind::VmStopped, 0, Milliseconds(0), Milliseconds(500) });
        add(record, requestAt("read", "GET", 100, 0), 1);
    }
    SUBCASE("answers that come late")
    {
        for (int i = 0; i < 9; ++i) {
            CallerRecord late = requestAt("late-" + std::to_string(i), "GET", 100, 504);
            late.endedAt = at(1'700);
            add(record, late, 0);
        }
    }
    SUBCASE("a withdrawn key that is accepted")
    {
        const CallerRecord used = requestAt("probe", "GET", 100, 200);
        record.probes.push_back({ used, false });
        record.runs.push_back(runOf(used));
    }
    SUBCASE("a key of the rules in force that is denied")
    {
        record.probes.push_back({ requestAt("probe", "GET", 100, 401), true });
    }
    SUBCASE("a request that runs at a drained target")
    {
        record.drains.push_back({ "t1", at(0), at(9'000) });
        add(record, requestAt("read", "GET", 3'000, 200), 1);
    }
    SUBCASE("a request that runs at a target which has told the VM that it is leaving")
    {
        record.leaves.push_back({ "t1", at(0), at(9'000) });
        add(record, requestAt("told", "GET", 100, 200), 1);
        add(record, requestAt("late", "GET", 130, 200), 1);
    }
    SUBCASE("requests in a pause that the target has asked for")
    {
        record.pauses.push_back({ "turned-away", "t1", at(0), at(2'000) });
        add(record, requestAt("turned-away", "GET", 0, 503), 0);
        for (const int milliseconds : { 600, 700, 1'900 }) {
            add(record, requestAt("paused-" + std::to_string(milliseconds), "GET", milliseconds, 200), 1);
        }
    }
    SUBCASE("a process that ended unexpectedly")
    {
        record.unexpectedEnds.emplace_back("vm-1 had ended");
    }
    SUBCASE("requests that are not served after the faults")
    {
        add(record, requestAt("read", "GET", 15'500, 503), 0);
    }
    CHECK(violationCount(record) == 1);
}

TEST_CASE("SoakChecks accepts what a target gets before the VM can know, and after a new start")
{
    // Guards against reports of requests that no VM could hold back.
    SoakRecord record = healthyRecord();
    record.leaves.push_back({ "t1", at(0), at(1'000) });
    add(record, requestAt("before", "GET", 10, 200), 1);
    add(record, requestAt("beside", "GET", 20, 200), 1);
    add(record, requestAt("after", "GET", 1'100, 200), 1);
    record.pauses.push_back({ "turned-away", "t1", at(5'000), at(6'000) });
    add(record, requestAt("turned-away", "GET", 5'000, 503), 0);
    for (const int milliseconds : { 5'100, 5'200, 5'300, 5'600, 5'700, 6'100 }) {
        add(record, requestAt("near-" + std::to_string(milliseconds), "GET", milliseconds, 200), 1);
    }
    CHECK(violationCount(record) == 0);
}

TEST_CASE("SoakChecks accepts requests that are lost by a kill or by a concurrent close")
{
    // Guards against reports of effects that the fault itself explains.
    SoakRecord record = healthyRecord();
    record.faults.push_back({ SoakFaultKind::VmKilled, 0, Milliseconds(0), Milliseconds(500) });
    add(record, requestAt("killed", "POST", 100, 0), 1);
    CallerRecord crossed = requestAt("crossed", "GET", 8'000, 0);
    crossed.isOnUsedConnection = true;
    add(record, crossed, 0);
    CHECK(violationCount(record) == 0);
}
