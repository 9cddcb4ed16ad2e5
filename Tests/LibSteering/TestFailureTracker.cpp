#include <LibSteering/FailureTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("FailureTracker ejects a target after failures in a row and readmits it after an answer")
{
    // Guards against a dead target that gets requests, and a healthy one that gets none.
    FailureTracker tracker;
    CHECK(!tracker.noteFailure(start));
    CHECK(!tracker.noteFailure(start));
    tracker.noteAnswered();
    CHECK(!tracker.noteFailure(start));
    CHECK(!tracker.noteFailure(start));
    CHECK(tracker.noteFailure(start));
    CHECK(tracker.isEjected());
    const Deadline first = tracker.nextCheckAt();
    tracker.noteUnreachable(start);
    CHECK(first < tracker.nextCheckAt());
    tracker.noteAnswered();
    CHECK(!tracker.isEjected());
}

TEST_CASE("FailureTracker gives one request at a time to a target that passes its health check and answers nothing")
{
    // Guards against a target that answers no requests, but gets several after each health check, and whose next check
    // is as soon as after a first failure.
    FailureTracker tracker;
    for (int i = 0; i < 3; ++i) {
        tracker.noteFailure(start);
    }
    const Microseconds first = tracker.nextCheckAt().remaining(start);
    tracker.noteCheckPassed();
    CHECK(!tracker.isEjected());
    CHECK(tracker.isOnTrial());
    CHECK(tracker.noteFailure(start));
    CHECK(tracker.isEjected());
    CHECK(tracker.nextCheckAt().remaining(start) > first);
    tracker.noteCheckPassed();
    tracker.noteAnswered();
    CHECK(!tracker.isOnTrial());
    CHECK(!tracker.noteFailure(start));
}

TEST_CASE("FailureTracker puts no target on trial for a health check that another reason called for")
{
    // Guards against a busy target that is limited to one request because a connection to it ended.
    FailureTracker tracker;
    tracker.noteCheckPassed();
    CHECK(!tracker.isOnTrial());
}
