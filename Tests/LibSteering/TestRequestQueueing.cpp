#include <LibSteering/RequestQueueing.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
constexpr Milliseconds targetLatency { 300 };
constexpr Milliseconds timeout { 1'000 };

RequestTimes times()
{
    RequestTimes times;
    times.arrivedAt = start;
    times.wantedBy = Deadline::after(start, targetLatency);
    times.giveUpAt = Deadline::after(start, timeout);
    times.callerDeadline = Deadline::after(start, timeout);
    times.timeout = timeout;
    return times;
}

AnswerForecast queued(Milliseconds time)
{
    return { time, false, true };
}

AnswerForecast freeSlot(Milliseconds time, bool isWorkKnown = true)
{
    return { time, true, isWorkKnown };
}

} // namespace

TEST_CASE("RequestQueueing sends a request to a queue only if it can still be on time")
{
    // Guards against targets whose queues are full of requests that will be late, while others miss their target
    // latency.
    CHECK(RequestQueueing::maySend(times(), queued(Milliseconds(300)), start));
    CHECK(!RequestQueueing::maySend(times(), queued(Milliseconds(301)), start));
    CHECK(!RequestQueueing::maySend(times(), queued(Milliseconds(200)), start + Milliseconds(101)));
    CHECK(RequestQueueing::maySend(times(), freeSlot(Milliseconds(800)), start + Milliseconds(101)));
}

TEST_CASE("RequestQueueing refuses at once what the best target can't answer in time")
{
    // Guards against callers that wait although no answer in time is expected.
    CHECK(RequestQueueing::isUnmeetable(times(), queued(Milliseconds(1'001)), start));
    CHECK(!RequestQueueing::isUnmeetable(times(), queued(Milliseconds(1'000)), start));
    CHECK(RequestQueueing::isUnmeetable(times(), freeSlot(Milliseconds(450)), start + Milliseconds(600)));
}

TEST_CASE("RequestQueueing does not refuse because of an estimate alone")
{
    // Guards against a route whose requests are always refused after one slow answer.
    CHECK(!RequestQueueing::isUnmeetable(times(), freeSlot(Milliseconds(5'000)), start));
    CHECK(!RequestQueueing::isUnmeetable(times(), freeSlot(Milliseconds(450), false), start + Milliseconds(600)));
}

TEST_CASE("RequestQueueing ends the wait while the caller can still retry")
{
    // Guards against requests that wait until their deadline and are then refused.
    const Microseconds work = Milliseconds(100);
    CHECK(!RequestQueueing::mustStopWaiting(times(), work, start + Milliseconds(500)));
    CHECK(RequestQueueing::mustStopWaiting(times(), work, start + Milliseconds(501)));
    CHECK(RequestQueueing::mustStopWaiting(times(), Milliseconds(700), start + Milliseconds(301)));
}

TEST_CASE("RequestQueueing spreads the retries of refused callers over the first third of their time")
{
    // Guards against callers that all retry at the same moment, or too late to be served.
    const TimePoint now = start + Milliseconds(400);
    const Deadline earliest = RequestQueueing::retryAt(times(), 0, now);
    const Deadline latest = RequestQueueing::retryAt(times(), 1, now);
    CHECK(earliest.remaining(now) == Milliseconds(99));
    CHECK(latest.remaining(now) == Milliseconds(198));
    RequestTimes patient = times();
    patient.callerDeadline = Deadline::after(start, Milliseconds(60'000));
    CHECK(RequestQueueing::retryAt(patient, 1, now).remaining(now) <= Milliseconds(660));
}

TEST_CASE("Callers that are refused in a pause come back after its end, spread over about its length")
{
    // Guards against callers that come back in the pause, all at its end, or when their time is over.
    RequestTimes times;
    times.callerDeadline = Deadline::never();
    times.timeout = Milliseconds(3'000);
    const TimePoint now { std::chrono::seconds(100) };
    const auto waitFor = [&](Microseconds pause, double random) {
        return RequestQueueing::retryFrom(times, Deadline::after(now, pause), random, now).remaining(now);
    };
    CHECK(waitFor(Milliseconds(800), 0) == Milliseconds(800));
    CHECK(waitFor(Milliseconds(800), 0.5) == Milliseconds(1'200));
    CHECK(waitFor(Milliseconds(10), 0.5) == Milliseconds(110));
    CHECK(waitFor(Milliseconds(1'900), 0.99) <= Milliseconds(1'980));
    CHECK(waitFor(Milliseconds(60'000), 0.99) <= Milliseconds(1'980));
    CHECK(waitFor(Milliseconds(60'000), 0) == Milliseconds(990));
}
