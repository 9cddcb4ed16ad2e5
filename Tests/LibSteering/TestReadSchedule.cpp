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

SourceRevision revision(std::uint64_t number, std::uint64_t epoch = 0)
{
    return { SourceEpoch(epoch), number };
}

/// A schedule that has read the list once, at the start.
ReadSchedule scheduleAfterRead()
{
    ReadSchedule schedule({});
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start);
    return schedule;
}

} // namespace

TEST_CASE("ReadSchedule reads at once at the start, and then only if no other VM does")
{
    // Guards against calls to the platform that grow with the number of VMs.
    ReadSchedule schedule({});
    CHECK(schedule.isDue(start, later));
    schedule = scheduleAfterRead();
    for (int i = 1; i <= 20; ++i) {
        const TimePoint now = start + Milliseconds(1'000) * i;
        CHECK(!schedule.isDue(now, later));
        schedule.noteReportedDigest(digest, now, now);
    }
}

TEST_CASE("ReadSchedule doesn't take a late report of an earlier read for news about a newer list that it lacks")
{
    // Guards against a VM that takes its old rules for current again because a datagram was delayed.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.noteReportedDigest(otherDigest, start + Milliseconds(1'000), start + Milliseconds(1'010));
    REQUIRE(schedule.isIncomplete());
    schedule.noteReportedDigest(digest, start + Milliseconds(500), start + Milliseconds(1'020));
    CHECK(schedule.isIncomplete());
    CHECK(schedule.isDue(start + Milliseconds(1'100), later));
    // Nor a late list that is newer than its own and older than the one that it lacks.
    constexpr std::uint64_t middleDigest = 8;
    schedule.noteReceived(middleDigest);
    schedule.noteReportedDigest(middleDigest, start + Milliseconds(700), start + Milliseconds(1'030));
    CHECK(schedule.isIncomplete());
    // The state may have become the earlier one again.
    schedule.noteReportedDigest(middleDigest, start + Milliseconds(2'000), start + Milliseconds(2'010));
    CHECK(!schedule.isIncomplete());
}

TEST_CASE("ReadSchedule orders lists by their revision, whatever time a report names")
{
    // Guards against a VM that takes its old rules for current since a VM that was frozen reports them as read now.
    ReadSchedule schedule({});
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start, revision(10));
    schedule.noteReportedDigest(otherDigest, start + Milliseconds(500), start + Milliseconds(500), revision(9));
    CHECK(!schedule.isIncomplete());
    schedule.noteReportedDigest(otherDigest, start - Milliseconds(1), start + Milliseconds(600), revision(12));
    CHECK(schedule.isIncomplete());
    schedule.noteReportedDigest(digest, start + Milliseconds(900), start + Milliseconds(900), revision(11));
    CHECK(schedule.isIncomplete());
    // The state may have become the earlier one again.
    schedule.noteReportedDigest(digest, start + Milliseconds(900), start + Milliseconds(900), revision(13));
    CHECK(!schedule.isIncomplete());
}

TEST_CASE("ReadSchedule doesn't take an answer for current that is older than a report heard during the read")
{
    // Guards against an old state that a VM which was frozen takes from its socket and counts as read now.
    ReadSchedule schedule({});
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start, revision(10));
    schedule.noteBegun(start + Milliseconds(1'000), later);
    schedule.noteReportedDigest(otherDigest, start + Milliseconds(1'100), start + Milliseconds(1'100), revision(12));
    schedule.noteRead(digest, start + Milliseconds(3'000), revision(11));
    CHECK(schedule.isIncomplete());
    // A read that began after the report can't be older.
    schedule.noteBegun(start + Milliseconds(3'100), later);
    schedule.noteRead(digest, start + Milliseconds(3'200), revision(11));
    CHECK(!schedule.isIncomplete());
}

TEST_CASE("ReadSchedule learns from another VM's newer list that its own is old, and confirms nothing by it")
{
    // Guards against VMs that keep each other's old rules for current during an outage of the platform.
    ReadSchedule schedule({});
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start, revision(10));
    const TimePoint now = start + Milliseconds(1'000);
    schedule.noteListOfOther(digest, revision(12), now);
    schedule.noteListOfOther(otherDigest, revision(9), now);
    CHECK(!schedule.isIncomplete());
    CHECK(schedule.confirmedAt() == start);
    schedule.noteListOfOther(otherDigest, revision(12), now);
    CHECK(schedule.isIncomplete());
    CHECK(schedule.behindSince(now + Milliseconds(50)) == now);
}

TEST_CASE("ReadSchedule reads when the reader becomes silent")
{
    // Guards against a VM that never learns of a removed target because the reader died.
    const ReadSchedule schedule = scheduleAfterRead();
    CHECK(!schedule.isDue(start + Milliseconds(1'600), later));
    CHECK(schedule.isDue(start + Milliseconds(1'700), later));
}

TEST_CASE("ReadSchedule lets VMs take over from the reader one after the other")
{
    // Guards against a hundred VMs that read thousands of targets at the same moment because one reader died.
    const ReadSchedule schedule = scheduleAfterRead();
    CHECK(!schedule.isDue(start + Milliseconds(1'390), second));
    CHECK(schedule.isDue(start + Milliseconds(1'400), second));
    CHECK(!schedule.isDue(start + Milliseconds(1'540), second + 1));
    CHECK(schedule.isDue(start + Milliseconds(1'550), second + 1));
    // Whatever the rank, not later than the confirmation timeout.
    CHECK(schedule.isDue(start + Milliseconds(1'700), later));
}

TEST_CASE("ReadSchedule waits for other VMs' list before its first read")
{
    // Guards against hundreds of restarted VMs that all read the whole list.
    ReadSchedule schedule({});
    schedule.waitForSync(Deadline::after(start, Milliseconds(2'000)));
    CHECK(schedule.isDue(start, first));
    CHECK(!schedule.isDue(start + Milliseconds(1'990), later));
    CHECK(schedule.isDue(start + Milliseconds(2'000), later));
    schedule.noteAdopted(digest, start + Milliseconds(500));
    CHECK(schedule.hasList());
    CHECK(!schedule.isDue(start + Milliseconds(2'000), later));
    CHECK(schedule.isDue(start + Milliseconds(2'200), later));
}

TEST_CASE("ReadSchedule reads an incomplete list only if other VMs have not sent the missing parts")
{
    // Guards against reading the whole list because of a lost datagram.
    ReadScheduleSettings settings;
    settings.peerSyncTimeout = Milliseconds(300);
    ReadSchedule schedule(settings);
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start);
    const TimePoint now = start + Milliseconds(1'000);
    schedule.noteReportedDigest(digest + 1, now, now);
    CHECK(!schedule.isDue(now + Milliseconds(290), later));
    CHECK(schedule.isDue(now + Milliseconds(300), later));
    schedule.noteAdopted(digest + 1, now);
    CHECK(!schedule.isDue(now + Milliseconds(300), later));
}

TEST_CASE("ReadSchedule reads when a reader reports a list that it does not have")
{
    // Guards against missing a change whose datagram was lost.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.noteReportedDigest(digest + 1, start + Milliseconds(1'000), start + Milliseconds(1'000));
    CHECK(schedule.isDue(start + Milliseconds(1'000), later));
    schedule.setDigest(digest + 1);
    schedule.noteReportedDigest(digest + 1, start + Milliseconds(1'000), start + Milliseconds(1'000));
    CHECK(!schedule.isDue(start + Milliseconds(1'000), later));
}

TEST_CASE("ReadSchedule ignores reports that are older than its own read")
{
    // Guards against reading again because of a late datagram.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.noteReportedDigest(digest + 1, start - Milliseconds(1), start);
    CHECK(!schedule.isDue(start + Milliseconds(1'000), later));
}

TEST_CASE("ReadSchedule lets a reader read at its interval and never start a read during another one")
{
    // Guards against sending a slow platform more and more calls.
    ReadSchedule schedule = scheduleAfterRead();
    CHECK(!schedule.isDue(start + Milliseconds(800), first));
    CHECK(schedule.isDue(start + Milliseconds(900), first));
    schedule.noteBegun(start + Milliseconds(900), later);
    CHECK(!schedule.isDue(start + Milliseconds(9'000), first));
}

TEST_CASE("ReadSchedule retries soon as the region's reader, and rarely on any other VM")
{
    // Guards against an outage in which all VMs call the platform several times a second.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.noteBegun(start + Milliseconds(2'000), later);
    schedule.noteFailed();
    CHECK(!schedule.isDue(start + Milliseconds(2'400), first));
    CHECK(schedule.isDue(start + Milliseconds(2'900), first));
    CHECK(!schedule.isDue(start + Milliseconds(5'300), later));
    CHECK(schedule.isDue(start + Milliseconds(5'400), later));
    // The platform is back, and another VM has read a new list.
    schedule.noteReportedDigest(digest + 1, start + Milliseconds(4'000), start + Milliseconds(4'000));
    CHECK(schedule.isDue(start + Milliseconds(4'000), later));
}

TEST_CASE("ReadSchedule retries soon until it has read once")
{
    // Guards against a VM that has no list for seconds because the platform refused its first call.
    ReadSchedule schedule({});
    CHECK(schedule.isDue(start, later));
    schedule.noteBegun(start, later);
    schedule.noteFailed();
    CHECK(!schedule.isDue(start + Milliseconds(400), later));
    CHECK(schedule.isDue(start + Milliseconds(500), later));
}

TEST_CASE("AbsenceGrace keeps missing targets for a while after the list was unavailable")
{
    // Guards against dropping living targets whose entries lapsed while the platform's store was unavailable.
    AbsenceGrace grace;
    CHECK(grace.isOver(start));
    grace.noteFailure();
    CHECK(!grace.isOver(start + Milliseconds(60'000)));
    grace.noteSuccess(start + Milliseconds(60'000));
    CHECK(!grace.isOver(start + Milliseconds(61'000)));
    CHECK(grace.isOver(start + Milliseconds(62'500)));
}

TEST_CASE("ReadSchedule keeps reading in place of a silent reader until a preferred one reports")
{
    // Guards against a region whose VMs all read because the next one in the order reads only once.
    ReadSchedule schedule = scheduleAfterRead();
    const TimePoint takeover = start + Milliseconds(1'400);
    CHECK(schedule.isDue(takeover, second));
    schedule.noteBegun(takeover, second);
    schedule.noteRead(digest, takeover);
    CHECK(!schedule.isDue(takeover + Milliseconds(890), second));
    CHECK(schedule.isDue(takeover + Milliseconds(900), second));
    schedule.notePreferredReader();
    CHECK(!schedule.isDue(takeover + Milliseconds(900), second));
}

TEST_CASE("ReadSchedule accepts no list that is older than what it misses")
{
    // Guards against a VM that considers its list complete because another VM misses the same part.
    ReadSchedule schedule = scheduleAfterRead();
    CHECK(!schedule.canSyncFrom(otherDigest, start + Milliseconds(2'000)));
    const TimePoint wanted = start + Milliseconds(1'000);
    schedule.noteReportedDigest(digest + 1, wanted, wanted);
    CHECK(!schedule.canSyncFrom(otherDigest, start + Milliseconds(500)));
    CHECK(schedule.canSyncFrom(otherDigest, wanted));
}

TEST_CASE("ReadSchedule waits for missing parts of a long list for as long as other VMs may need to send them")
{
    // Guards against a large region in which all VMs read a list of thousands of targets, because getting the missing
    // parts from other VMs takes longer than the timeout for a silent reader.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.setTimeouts(Milliseconds(3'000), Milliseconds(1'700));
    schedule.noteReportedDigest(digest + 1, start + Milliseconds(900), start + Milliseconds(900));
    CHECK(schedule.isIncomplete());
    CHECK(!schedule.isDue(start + Milliseconds(2'600), later));
    CHECK(schedule.isDue(start + Milliseconds(3'900), later));
}

TEST_CASE("ReadSchedule lets the first few VMs of a large region take over from a silent reader before all read")
{
    // Guards against a region whose VMs all read at once, saturate their link to the platform, and never recover since
    // no read ends in time.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.setTimeouts(Milliseconds(1'500), Milliseconds(3'200));
    const TimePoint firstFew = start + Milliseconds(1'700);
    CHECK(schedule.isDue(firstFew, second));
    CHECK(schedule.isDue(firstFew, second + 2));
    CHECK(!schedule.isDue(firstFew, later));
    CHECK(schedule.isDue(start + Milliseconds(3'200), later));
}

TEST_CASE("ReadSchedule accepts a list that has what it misses, although the reader has reported again since")
{
    // Guards against a VM with a slow link that drops each reply because it arrives after the reader's next report.
    ReadSchedule schedule = scheduleAfterRead();
    schedule.noteReportedDigest(digest + 1, start + Milliseconds(900), start + Milliseconds(900));
    schedule.noteReportedDigest(digest + 1, start + Milliseconds(1'800), start + Milliseconds(1'800));
    CHECK(schedule.canSyncFrom(digest + 1, start + Milliseconds(900)));
    schedule.noteReportedDigest(digest + 2, start + Milliseconds(2'700), start + Milliseconds(2'700));
    CHECK(!schedule.canSyncFrom(digest + 1, start + Milliseconds(900)));
}

TEST_CASE("ReadSchedule takes a list of a later epoch for the newer one, whatever its number")
{
    // Guards against a VM that ignores what was written after the platform came back from a copy.
    ReadSchedule schedule({});
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start, revision(100, 1));
    const TimePoint now = start + Milliseconds(100);
    schedule.noteListOfOther(otherDigest, revision(5, 2), now);
    REQUIRE(schedule.isIncomplete());
    schedule.noteReceived(otherDigest, revision(5, 2));
    schedule.noteReportedDigest(otherDigest, now, now, revision(5, 2));
    CHECK(!schedule.isIncomplete());
    schedule.noteReportedDigest(digest, now + Milliseconds(50), now + Milliseconds(50), revision(101, 1));
    schedule.noteListOfOther(digest, revision(101, 1), now + Milliseconds(50));
    CHECK(!schedule.isIncomplete());
}

TEST_CASE("ReadSchedule orders a report without an epoch by its time")
{
    // Guards against VMs of the release before, which tell no epoch, whose reports of newer lists are ignored.
    ReadSchedule schedule({});
    schedule.noteBegun(start, later);
    schedule.noteRead(digest, start, revision(100, 1));
    schedule.noteReportedDigest(otherDigest, start + Milliseconds(500), start + Milliseconds(500), revision(90));
    CHECK(schedule.isIncomplete());
}
