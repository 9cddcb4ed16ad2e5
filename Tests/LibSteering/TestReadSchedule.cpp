#include <LibSteering/AbsenceGrace.h>
#include <LibSteering/ReadSchedule.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
constexpr std::uint64_t digest = 7;
constexpr std::uint64_t otherDigest = 9;
// Ranks in the order of readers.
constexpr std::size_t first = 0;
constexpr std::size_t second = 1;
constexpr std::size_t later = 50;

/// A state that has read once at the start.
ReadSchedule stateAfterReading()
{
    ReadSchedule state({});
    state.noteBegun(start, later);
    state.noteRead(digest, start);
    return state;
}

} // namespace

TEST_CASE("SharedReading reads at once at the start, and then only if nobody else does")
{
    // Guards against calls to the platform that grow with the number of VMs.
    ReadSchedule state({});
    CHECK(state.isDue(start, later));
    state = stateAfterReading();
    for (int i = 1; i <= 20; ++i) {
        const TimePoint now = start + Milliseconds(1'000) * i;
        CHECK(!state.isDue(now, later));
        state.noteReportedDigest(digest, now, now);
    }
}

TEST_CASE("SharedReading reads for itself when the reader falls silent")
{
    // Guards against a VM that never hears of a target that left, because the reader died.
    const ReadSchedule state = stateAfterReading();
    CHECK(!state.isDue(start + Milliseconds(1'600), later));
    CHECK(state.isDue(start + Milliseconds(1'700), later));
}

TEST_CASE("SharedReading lets VMs take over one after the other")
{
    // Guards against a hundred VMs that read thousands of targets at the same moment because one reader died.
    const ReadSchedule state = stateAfterReading();
    CHECK(!state.isDue(start + Milliseconds(1'390), second));
    CHECK(state.isDue(start + Milliseconds(1'400), second));
    CHECK(!state.isDue(start + Milliseconds(1'540), second + 1));
    CHECK(state.isDue(start + Milliseconds(1'550), second + 1));
    // In time for the usual bounds, whatever the rank.
    CHECK(state.isDue(start + Milliseconds(1'700), later));
}

TEST_CASE("SharedReading leaves its first reading to others while they may help")
{
    // Guards against a restart of hundreds of VMs that all read the whole list.
    ReadSchedule state({});
    state.waitForSync(Deadline::after(start, Milliseconds(2'000)));
    CHECK(state.isDue(start, first));
    CHECK(!state.isDue(start + Milliseconds(1'990), later));
    CHECK(state.isDue(start + Milliseconds(2'000), later));
    state.noteAdopted(digest, start + Milliseconds(500));
    CHECK(state.hasList());
    CHECK(!state.isDue(start + Milliseconds(2'000), later));
    CHECK(state.isDue(start + Milliseconds(2'200), later));
}

TEST_CASE("SharedReading reads what it lacks only if others have not helped")
{
    // Guards against readings of the whole list for a datagram that was lost.
    ReadScheduleSettings settings;
    settings.peerSyncTimeout = Milliseconds(300);
    ReadSchedule state(settings);
    state.noteBegun(start, later);
    state.noteRead(digest, start);
    const TimePoint now = start + Milliseconds(1'000);
    state.noteReportedDigest(digest + 1, now, now);
    CHECK(!state.isDue(now + Milliseconds(290), later));
    CHECK(state.isDue(now + Milliseconds(300), later));
    state.noteAdopted(digest + 1, now);
    CHECK(!state.isDue(now + Milliseconds(300), later));
}

TEST_CASE("SharedReading reads for itself when a statement says that it lacks something")
{
    // Guards against a change whose datagram was lost.
    ReadSchedule state = stateAfterReading();
    state.noteReportedDigest(digest + 1, start + Milliseconds(1'000), start + Milliseconds(1'000));
    CHECK(state.isDue(start + Milliseconds(1'000), later));
    state.setDigest(digest + 1);
    state.noteReportedDigest(digest + 1, start + Milliseconds(1'000), start + Milliseconds(1'000));
    CHECK(!state.isDue(start + Milliseconds(1'000), later));
}

TEST_CASE("SharedReading ignores statements that are older than its own reading")
{
    // Guards against reading again because of a late datagram.
    ReadSchedule state = stateAfterReading();
    state.noteReportedDigest(digest + 1, start - Milliseconds(1), start);
    CHECK(!state.isDue(start + Milliseconds(1'000), later));
}

TEST_CASE("SharedReading lets a reader read in its own rhythm and never twice at once")
{
    // Guards against a slow platform that gets more and more calls.
    ReadSchedule state = stateAfterReading();
    CHECK(!state.isDue(start + Milliseconds(800), first));
    CHECK(state.isDue(start + Milliseconds(900), first));
    state.noteBegun(start + Milliseconds(900), later);
    CHECK(!state.isDue(start + Milliseconds(9'000), first));
}

TEST_CASE("SharedReading tries again soon for the region, and rarely where nobody relies on it")
{
    // Guards against an outage in which all VMs call the platform several times a second.
    ReadSchedule state = stateAfterReading();
    state.noteBegun(start + Milliseconds(2'000), later);
    state.noteFailed();
    CHECK(!state.isDue(start + Milliseconds(2'400), first));
    CHECK(state.isDue(start + Milliseconds(2'900), first));
    CHECK(!state.isDue(start + Milliseconds(5'300), later));
    CHECK(state.isDue(start + Milliseconds(5'400), later));
    // The platform is back, and others have found news there.
    state.noteReportedDigest(digest + 1, start + Milliseconds(4'000), start + Milliseconds(4'000));
    CHECK(state.isDue(start + Milliseconds(4'000), later));
}

TEST_CASE("SharedReading tries again soon until it has read once")
{
    // Guards against a VM that starts beside a platform which refuses its first call, and stays useless for seconds.
    ReadSchedule state({});
    CHECK(state.isDue(start, later));
    state.noteBegun(start, later);
    state.noteFailed();
    CHECK(!state.isDue(start + Milliseconds(400), later));
    CHECK(state.isDue(start + Milliseconds(500), later));
}

TEST_CASE("AbsenceGrace keeps missing targets for a while after the list was away")
{
    // Guards against living targets whose entries lapsed with the platform's store.
    AbsenceGrace grace;
    CHECK(grace.isOver(start));
    grace.noteFailure();
    CHECK(!grace.isOver(start + Milliseconds(60'000)));
    grace.noteSuccess(start + Milliseconds(60'000));
    CHECK(!grace.isOver(start + Milliseconds(61'000)));
    CHECK(grace.isOver(start + Milliseconds(62'500)));
}

TEST_CASE("SharedReading goes on in the place of a silent reader until a better one speaks")
{
    // Guards against a region whose VMs all read because the next one in the order reads only once.
    ReadSchedule state = stateAfterReading();
    const TimePoint takeover = start + Milliseconds(1'400);
    CHECK(state.isDue(takeover, second));
    state.noteBegun(takeover, second);
    state.noteRead(digest, takeover);
    CHECK(!state.isDue(takeover + Milliseconds(890), second));
    CHECK(state.isDue(takeover + Milliseconds(900), second));
    state.notePreferredReader();
    CHECK(!state.isDue(takeover + Milliseconds(900), second));
}

TEST_CASE("SharedReading takes no help that is older than what it lacks")
{
    // Guards against a VM that takes its list for complete because another one lacks the same.
    ReadSchedule state = stateAfterReading();
    CHECK(!state.canSyncFrom(otherDigest, start + Milliseconds(2'000)));
    const TimePoint wanted = start + Milliseconds(1'000);
    state.noteReportedDigest(digest + 1, wanted, wanted);
    CHECK(!state.canSyncFrom(otherDigest, start + Milliseconds(500)));
    CHECK(state.canSyncFrom(otherDigest, wanted));
}

TEST_CASE("SharedReading leaves what a VM lacks of a long list to other VMs for as long as their help may take")
{
    // Guards against a large region in which all VMs read a list of thousands of targets, because the reader's news
    // can't be followed for longer than a silent reader is waited for.
    ReadSchedule state = stateAfterReading();
    state.setTimeouts(Milliseconds(3'000), Milliseconds(1'700));
    state.noteReportedDigest(digest + 1, start + Milliseconds(900), start + Milliseconds(900));
    CHECK(state.isIncomplete());
    CHECK(!state.isDue(start + Milliseconds(2'600), later));
    CHECK(state.isDue(start + Milliseconds(3'900), later));
}

TEST_CASE("SharedReading in a large region lets the first few take over from a silent reader before all read")
{
    // Guards against a region whose VMs all read at once, fill their link to the platform, and go on for ever since
    // none of them ends in time.
    ReadSchedule state = stateAfterReading();
    state.setTimeouts(Milliseconds(1'500), Milliseconds(3'200));
    const TimePoint firstFew = start + Milliseconds(1'700);
    CHECK(state.isDue(firstFew, second));
    CHECK(state.isDue(firstFew, second + 2));
    CHECK(!state.isDue(firstFew, later));
    CHECK(state.isDue(start + Milliseconds(3'200), later));
}

TEST_CASE("SharedReading takes help that has what it lacks, though the reader has spoken again since")
{
    // Guards against a VM with a slow link that drops each answer because it ends after the next reading was told.
    ReadSchedule state = stateAfterReading();
    state.noteReportedDigest(digest + 1, start + Milliseconds(900), start + Milliseconds(900));
    state.noteReportedDigest(digest + 1, start + Milliseconds(1'800), start + Milliseconds(1'800));
    CHECK(state.canSyncFrom(digest + 1, start + Milliseconds(900)));
    state.noteReportedDigest(digest + 2, start + Milliseconds(2'700), start + Milliseconds(2'700));
    CHECK(!state.canSyncFrom(digest + 1, start + Milliseconds(900)));
}
