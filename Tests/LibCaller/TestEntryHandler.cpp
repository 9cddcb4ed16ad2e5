#include <LibCaller/EntryHandler.h>

#include <LibCaller/CallerFixture.h>
#include <LibRequest/IssuedRequestId.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("EntryHandler runs an id once and replays its answer")
{
    CallerFixture fixture;
    MemorySink first;
    CHECK(fixture.send(fixture.booking("order-1"), first).verdict() == Verdict::Ran);
    MemorySink second;
    CHECK_FALSE(fixture.send(fixture.booking("order-1"), second).refusal);
    CHECK(second.body == first.body);
    CHECK(second.isFinished);
    CHECK(fixture.targets.runs == 1);
}

TEST_CASE("EntryHandler records the answer for a caller that disconnects while its request runs")
{
    // Guards against a booking that ran and is then reported as "may have run", since its caller closed the connection.
    CallerFixture fixture;
    MemorySink gone;
    fixture.targets.behaviour = [&gone](const RequestHead &, AnswerSink &sink) {
        gone.isGone = true;
        return FakeLocalTargets::answerWith(sink, "done");
    };
    fixture.send(fixture.booking("order-1"), gone);
    MemorySink again;
    CHECK_FALSE(fixture.send(fixture.booking("order-1"), again).refusal);
    CHECK(again.body == "done");
    CHECK(fixture.targets.runs == 1);
}

TEST_CASE("EntryHandler does not dispatch for a caller that is gone")
{
    // Guards against a VM that runs requests after a pause although another VM told their callers "not run".
    CallerFixture fixture;
    MemorySink gone;
    gone.isGone = true;
    CHECK(fixture.send(fixture.booking("order-1"), gone).verdict() == Verdict::NotRun);
    CHECK(fixture.targets.runs == 0);
}

TEST_CASE("EntryHandler does not say not-run of an id that ran before")
{
    // Guards against a refusal for another reason (here the VM is stopping) whose verdict ignores an earlier attempt.
    CallerFixture fixture;
    MemorySink sink;
    fixture.send(fixture.booking("order-1"), sink);
    fixture.serving.setPhase(ServingState::Phase::Refusing);
    const ExchangeReport resent = fixture.send(fixture.booking("order-1"), sink);
    REQUIRE(resent.refusal);
    CHECK(resent.refusal->reason == RefusalReason::Draining);
    CHECK(resent.refusal->verdict == Verdict::Ran);
    const ExchangeReport other = fixture.send(fixture.booking("order-2"), sink);
    REQUIRE(other.refusal);
    CHECK(other.refusal->verdict == Verdict::NotRun);
}

TEST_CASE("EntryHandler lets an id run again if its earlier attempt has not run")
{
    CallerFixture fixture;
    const auto answer = fixture.targets.behaviour;
    fixture.targets.behaviour = [](const RequestHead &, AnswerSink &) -> ExchangeReport {
        return { Refusal { RefusalReason::NoCapacity, Verdict::NotRun, "full" }, false };
    };
    MemorySink sink;
    CHECK(fixture.send(fixture.booking("order-1"), sink).verdict() == Verdict::NotRun);
    fixture.targets.behaviour = answer;
    CHECK(fixture.send(fixture.booking("order-1"), sink).verdict() == Verdict::Ran);
}

TEST_CASE("EntryHandler never runs an id again that may have run")
{
    CallerFixture fixture;
    fixture.targets.behaviour = [](const RequestHead &, AnswerSink &) -> ExchangeReport {
        return { Refusal { RefusalReason::TargetFailed, Verdict::MayHaveRun, "reset" }, false };
    };
    MemorySink sink;
    fixture.send(fixture.booking("order-1"), sink);
    const ExchangeReport resent = fixture.send(fixture.booking("order-1"), sink);
    CHECK(resent.verdict() == Verdict::MayHaveRun);
    CHECK(fixture.targets.runs == 1);
}

TEST_CASE("EntryHandler sends an id to the VM that issued it")
{
    // Guards against two VMs that both run an id, since each knows only the ids in its own memory.
    CallerFixture fixture;
    const std::string prefix = IssuedRequestId::prefix({ VmId("vm-2"), Incarnation(3) }, fixture.clock.wallTime());
    MemorySink sink;
    const ExchangeReport lost = fixture.send(fixture.booking(prefix + "a"), sink);
    REQUIRE(lost.refusal);
    CHECK(lost.refusal->verdict == Verdict::MayHaveRun);
    fixture.peers.isReachable = true;
    CHECK_FALSE(fixture.send(fixture.booking(prefix + "a"), sink).refusal);
    CHECK(fixture.peers.forwardedTo.back() == VmId("vm-2"));
    CHECK(fixture.targets.runs == 0);
}

TEST_CASE("EntryHandler refuses a crash suspect before it reaches another target")
{
    CallerFixture fixture;
    const RequestHead head = fixture.booking("order-1");
    fixture.router->noteDeath({ fingerprintOf(head, "") }, true);
    MemorySink sink;
    const ExchangeReport report = fixture.send(head, sink);
    REQUIRE(report.refusal);
    CHECK(report.refusal->reason == RefusalReason::SuspectedCrash);
    CHECK(fixture.targets.runs == 0);
}
