#include <LibSteering/TargetState.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

TargetReport report(const char *observer, TimePoint at, TargetHealth health, int inFlight = 0, int slots = 4)
{
    return { TargetId("t"), VmId(observer), at, health, inFlight, slots, Milliseconds(1) };
}

void succeed(TargetState &state, TimePoint startedAt, Milliseconds latency)
{
    state.noteStart();
    state.noteEnd(AttemptOutcome::Success, startedAt, 1, latency, startedAt + latency);
}

} // namespace

TEST_CASE("TargetState uses the newest report on draining, and prefers observers that reach the target")
{
    // Guards against new requests at a leaving target, and against losing a target because one observer is
    // disconnected.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Ok));
    state.takeReport(report("b", start + Milliseconds(500), TargetHealth::Draining));
    CHECK(state.isDraining());
    state.takeReport(report("b", start + Milliseconds(400), TargetHealth::Ok));
    CHECK(state.isDraining());
    state.takeReport(report("b", start + Milliseconds(1500), TargetHealth::Unreachable));
    CHECK(state.isDraining());
    state.takeReport(report("a", start + Milliseconds(2000), TargetHealth::Ok));
    CHECK_FALSE(state.isDraining());
    CHECK_FALSE(state.isReportedDown(start + Milliseconds(2000)));
    state.takeReport(report("b", start + Milliseconds(7000), TargetHealth::Unreachable));
    CHECK(state.isReportedDown(start + Milliseconds(7000)));
}

TEST_CASE("TargetState ignores a report that the target is down after a success of its own requests")
{
    // Guards against losing a working target because its health endpoint is wrong.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Failing));
    CHECK(state.isReportedDown(start));
    succeed(state, start + Milliseconds(10), Milliseconds(20));
    CHECK_FALSE(state.isReportedDown(start + Milliseconds(1000)));
    CHECK(state.isReportedDown(start + Milliseconds(3000)));
}

TEST_CASE("TargetState keeps the limit of a target that answered while it was reported as failing")
{
    // Guards against refusals after a wrong report: a target that kept answering has kept its caches and needs no slow
    // start.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Failing));
    succeed(state, start + Milliseconds(500), Milliseconds(100));
    state.takeReport(report("a", start + Milliseconds(1'000), TargetHealth::Ok));
    CHECK(state.limit(start + Milliseconds(1'000)) == 4);
}

TEST_CASE("TargetState gives a report less weight the older it is")
{
    // Guards against VMs that all avoid or all choose the same target until its next report.
    TargetState state(TargetId("t"), 4, false, start);
    succeed(state, start, Milliseconds(100));
    state.takeReport(report("a", start, TargetHealth::Ok, 4));
    CHECK(state.effectiveLoad(start) == doctest::Approx(4));
    CHECK(state.effectiveLoad(start + Milliseconds(50)) == doctest::Approx(2));
    CHECK(state.effectiveLoad(start + Milliseconds(100)) == doctest::Approx(0));
    CHECK(state.busySlots(start + Milliseconds(400)) == 4);
}

TEST_CASE("TargetState distrusts reports that its own requests contradict")
{
    // Guards against a target that reports itself idle while it is slow, or full while it accepts requests.
    TargetState state(TargetId("t"), 4, false, start);
    TimePoint now = start;
    for (int i = 0; i < 20; ++i) {
        now += Milliseconds(50);
        succeed(state, now, Milliseconds(20));
    }
    SUBCASE("idle, but slow")
    {
        for (int i = 0; i < 10; ++i) {
            state.takeReport(report("a", now, TargetHealth::Ok, 0));
            succeed(state, now, Milliseconds(200));
            now += Milliseconds(200);
        }
        CHECK_FALSE(state.isReportTrusted(now));
        CHECK(state.effectiveLoad(now) > 2);
    }
    SUBCASE("full, but takes requests")
    {
        for (int i = 0; i < 3; ++i) {
            state.takeReport(report("a", now, TargetHealth::Ok, 4));
            CHECK(state.isReportTrusted(now));
            succeed(state, now + Milliseconds(5), Milliseconds(20));
            now += Milliseconds(1000);
        }
        CHECK_FALSE(state.isReportTrusted(now));
        CHECK(state.effectiveLoad(now) < 1);
    }
}

TEST_CASE("TargetState raises the limit of a cold target in steps and waits while it is slow")
{
    // Guards against full load on a target whose caches are empty.
    TargetState state(TargetId("t"), 8, false, start);
    for (int i = 0; i < 20; ++i) {
        succeed(state, start, Milliseconds(20));
    }
    CHECK(state.limit(start) == 8);
    state.startCold(start);
    CHECK(state.limit(start) == 2);
    succeed(state, start, Milliseconds(100));
    TimePoint now = start + Milliseconds(2'000);
    state.advance(now);
    CHECK(state.limit(now) == 2);
    for (int i = 0; i < 20; ++i) {
        succeed(state, now, Milliseconds(20));
    }
    for (const int limit : { 4, 6, 8, 8 }) {
        state.advance(now);
        CHECK(state.limit(now) == limit);
        now += Milliseconds(2'000);
    }
}

TEST_CASE("TargetState uses fewer slots if the target reports fewer, but never more than configured")
{
    // Guards against overload when a target's capacity is reduced, or when a report exaggerates it.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Ok, 0, 2));
    CHECK(state.limit(start) == 2);
    state.takeReport(report("a", start + Milliseconds(1), TargetHealth::Ok, 0, 90));
    CHECK(state.limit(start + Milliseconds(1)) == 4);
}
