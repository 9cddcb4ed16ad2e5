#include <LibSteering/TargetNotices.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const TimePoint start { std::chrono::seconds(100) };

Deadline at(int seconds)
{
    return Deadline(start + std::chrono::seconds(seconds));
}

} // namespace

TEST_CASE("A notice holds for the incarnation that gave it")
{
    // Guards against a new start that gets no requests, and against late answers of the start before.
    TargetNotices notices(5);
    CHECK(notices.noteLeaving(5));
    CHECK(!notices.noteLeaving(5));
    CHECK(notices.notePause(5, at(9)));
    notices.setStart(5);
    notices.setStart(4);
    CHECK(notices.isLeaving());
    CHECK(notices.isPaused(start));
    notices.setStart(6);
    CHECK(!notices.isLeaving());
    CHECK(!notices.isPaused(start));
    CHECK(!notices.noteLeaving(5));
    CHECK(!notices.notePause(5, at(9)));
    CHECK(!notices.isLeaving());
}

TEST_CASE("A pause ends at the latest time that was named")
{
    // Guards against an answer that was on its way and ends a longer pause.
    TargetNotices notices(0);
    CHECK(notices.notePause(0, at(3)));
    CHECK(!notices.notePause(0, at(2)));
    CHECK(notices.isPaused(at(2).at()));
    CHECK(notices.notePause(0, at(4)));
    CHECK(notices.pausedUntil() == at(4));
    CHECK(!notices.isPaused(at(4).at()));
}

TEST_CASE("The notices of a target that is listed again still hold, and their number is bounded")
{
    // Guards against a stale list that makes a leaving target take requests, and against memory without bound.
    UnlistedTargetNotices unlisted;
    const RefPointer<TargetNotices> notices = unlisted.take(TargetId("t"), 5);
    notices->noteLeaving(5);
    unlisted.keep(TargetId("t"), notices);
    CHECK(unlisted.take(TargetId("t"), 5) == notices);
    CHECK(unlisted.size() == 0);
    unlisted.keep(TargetId("t"), notices);
    CHECK(!unlisted.take(TargetId("t"), 6)->isLeaving());
    for (int i = 0; i < 5'000; ++i) {
        unlisted.keep(TargetId(std::to_string(i)), notices);
    }
    CHECK(unlisted.size() == 4'096);
    CHECK(unlisted.take(TargetId("4999"), 0) == notices);
    CHECK(unlisted.take(TargetId("0"), 0) != notices);
}
