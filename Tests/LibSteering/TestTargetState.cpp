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

TEST_CASE("TargetState believes the newest word on draining and one observer that reaches the target")
{
    // Guards against new work for a leaving target, and against a target lost because one observer is cut off.
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

TEST_CASE("TargetState lets own success overrule a report that it is down")
{
    // Guards against a false health endpoint that takes a working target away.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Failing));
    CHECK(state.isReportedDown(start));
    succeed(state, start + Milliseconds(10), Milliseconds(20));
    CHECK_FALSE(state.isReportedDown(start + Milliseconds(1000)));
    CHECK(state.isReportedDown(start + Milliseconds(3000)));
}

TEST_CASE("TargetState keeps the room of a target that answered while its health said that it failed")
{
    // Guards against refusals after a false report: the target's caches were never lost.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Failing));
    succeed(state, start + Milliseconds(500), Milliseconds(100));
    state.takeReport(report("a", start + Milliseconds(1'000), TargetHealth::Ok));
    CHECK(state.limit(start + Milliseconds(1'000)) == 4);
}

TEST_CASE("TargetState counts a report less the older it is")
{
    // Guards against VMs that all avoid, or all choose, the same target for as long as a report is the newest.
    TargetState state(TargetId("t"), 4, false, start);
    succeed(state, start, Milliseconds(100));
    state.takeReport(report("a", start, TargetHealth::Ok, 4));
    CHECK(state.effectiveLoad(start) == doctest::Approx(4));
    CHECK(state.effectiveLoad(start + Milliseconds(50)) == doctest::Approx(2));
    CHECK(state.effectiveLoad(start + Milliseconds(100)) == doctest::Approx(0));
    CHECK(state.busySlots(start + Milliseconds(400)) == 4);
}

TEST_CASE("TargetState distrusts reports that contradict what own requests see")
{
    // Guards against a target that says it is idle while it is slow, or full while it works.
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

TEST_CASE("TargetState gives a cold target its room in steps and waits while it is slow")
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

TEST_CASE("TargetState uses fewer slots if the target says so, never more")
{
    // Guards against overload when a vendor reduces a target's capacity, or a report that exaggerates it.
    TargetState state(TargetId("t"), 4, false, start);
    state.takeReport(report("a", start, TargetHealth::Ok, 0, 2));
    CHECK(state.limit(start) == 2);
    state.takeReport(report("a", start + Milliseconds(1), TargetHealth::Ok, 0, 90));
    CHECK(state.limit(start + Milliseconds(1)) == 4);
}
