#include <LibSteering/FailureTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("FailureTracker takes a target out after failures in a row and lets one check at a time bring it back")
{
    // Guards against a dead target that gets requests, and a living one that gets none.
    FailureTracker tracker;
    CHECK(!tracker.noteFailure(start));
    CHECK(!tracker.noteFailure(start));
    tracker.noteSuccess();
    CHECK(!tracker.noteFailure(start));
    CHECK(!tracker.noteFailure(start));
    CHECK(tracker.noteFailure(start));
    CHECK(tracker.isOut());
    const Deadline first = tracker.nextCheckAt();
    tracker.noteUnreachable(start);
    CHECK(first < tracker.nextCheckAt());
    tracker.noteSuccess();
    CHECK(!tracker.isOut());
}
