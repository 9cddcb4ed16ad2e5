#include <LibSteering/VmRoster.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

VmRecord record(const char *vm, const char *region)
{
    VmRecord result;
    result.vm = VmId(vm);
    result.locality.region = RegionId(region);
    result.startedAtMilliseconds = 1;
    return result;
}

} // namespace

TEST_CASE("VmRoster counts VMs with a recent heartbeat that are not leaving as serving")
{
    // Guards against look-ups that return a VM that was killed or is stopping.
    VmRoster roster(VmId("own"), record("own", "cuyo").locality, {});
    roster.applyRecords({ record("own", "cuyo"), record("a", "cuyo"), record("b", "pampa") }, start);
    CHECK(roster.serving(start).size() == 1);
    roster.noteHeartbeat(VmId("a"), 1, {}, start);
    CHECK(roster.serving(start).size() == 2);
    CHECK(roster.serving(start + Milliseconds(2'700)).size() == 1);
    roster.noteHeartbeat(VmId("a"), 1, { true, false }, start + Milliseconds(2'700));
    CHECK(roster.serving(start + Milliseconds(2'700)).size() == 1);
    roster.noteHeartbeat(VmId("a"), 0, {}, start + Milliseconds(2'700));
    CHECK(roster.serving(start + Milliseconds(2'700)).size() == 1);
    CHECK(roster.count() == 3);
}

TEST_CASE("VmRoster counts a VM that is added after the first list as alive")
{
    // Guards against a new VM that gets no callers before its first heartbeat, and, after a restart of this VM, against
    // returning VMs that died long ago.
    VmRoster roster(VmId("own"), record("own", "cuyo").locality, {});
    roster.applyRecords({ record("own", "cuyo"), record("dead", "cuyo") }, start);
    roster.applyRecords({ record("own", "cuyo"), record("dead", "cuyo"), record("new", "cuyo") },
                        start + Milliseconds(1'000));
    CHECK(!roster.isServing(VmId("dead"), start + Milliseconds(1'000)));
    CHECK(roster.isServing(VmId("new"), start + Milliseconds(1'000)));
}

TEST_CASE("VmRoster finds VMs that have been silent for long")
{
    // Guards against limits whose share for a dead VM stays unused.
    VmRoster roster(VmId("own"), record("own", "cuyo").locality, {});
    roster.applyRecords({ record("own", "cuyo"), record("a", "cuyo"), record("far", "pampa") }, start);
    roster.noteHeartbeat(VmId("a"), 1, {}, start);
    CHECK(roster.silentFor(Milliseconds(20'000), start + Milliseconds(19'000)).empty());
    CHECK(roster.silentFor(Milliseconds(20'000), start + Milliseconds(21'000)) == std::vector { VmId("a") });
}

TEST_CASE("VmRoster chooses one reader, and another one when it dies, leaves or can't read")
{
    // Guards against a region in which all VMs read because the platform refuses the reader's calls.
    const std::vector<VmRecord> records { record("a", "cuyo"), record("b", "cuyo"), record("c", "cuyo"),
                                          record("far", "pampa") };
    VmRoster roster(VmId("a"), record("a", "cuyo").locality, {});
    roster.applyRecords(records, start);
    const auto announce = [&](const VmId &vm, VmPresence presence, TimePoint now) {
        if (vm == VmId("a")) {
            roster.setOwnPresence(presence);
        } else {
            roster.noteHeartbeat(vm, 1, presence, now);
        }
    };
    for (const char *vm : { "b", "c" }) {
        announce(VmId(vm), {}, start);
    }
    const VmId first = roster.readersOf("targets", start).front();
    CHECK(!first.isEmpty());
    CHECK(first != VmId("far"));
    announce(first, { false, true }, start);
    const VmId second = roster.readersOf("targets", start).front();
    CHECK(second != first);
    announce(second, { true, false }, start);
    const VmId third = roster.readersOf("targets", start).front();
    CHECK(third != first);
    CHECK(third != second);
    // No VM can read: the first one keeps trying for all.
    announce(second, { false, true }, start);
    announce(third, { false, true }, start);
    CHECK(roster.readersOf("targets", start).front() == first);
}

TEST_CASE("VmRoster lets VMs that started together agree on one reader before their first heartbeats")
{
    // Guards against a restart of the whole fleet after which every VM reads all lists from the platform.
    const std::vector<VmRecord> records { record("a", "cuyo"), record("b", "cuyo"), record("c", "cuyo") };
    std::size_t readers = 0;
    for (const VmRecord &own : records) {
        VmRoster roster(own.vm, own.locality, {});
        roster.applyRecords(records, start);
        readers += roster.readerRank("targets", false, start) == 0 ? 1 : 0;
        // The others are dead.
        CHECK(roster.readerRank("targets", false, start + Milliseconds(1'300)) == 0);
    }
    CHECK(readers == 1);
}

TEST_CASE("VmRoster prefers VMs with a larger processor share as readers, relays and zone leaders")
{
    // Guards against a small VM whose processor or link is used up by what it does for a hundred others.
    constexpr int trials = 200;
    int largeReaders = 0;
    int largeLeaders = 0;
    for (int trial = 0; trial < trials; ++trial) {
        std::vector<VmRecord> records;
        for (int vm = 0; vm < 11; ++vm) {
            records.push_back(record(("vm-" + std::to_string(trial) + "-" + std::to_string(vm)).c_str(), "cuyo"));
            records.back().locality.availabilityZone = AvailabilityZoneId("cuyo-a");
            records.back().processorShare = vm < 2 ? 0.5 : 0.07;
        }
        VmRoster roster(records.back().vm, records.back().locality, {});
        roster.applyRecords(records, start);
        const auto isLarge = [&](const VmId &vm) {
            return vm == records[0].vm || vm == records[1].vm;
        };
        const std::vector<VmId> relays = roster.relaysOf("targets", RegionId("cuyo"));
        CHECK(std::all_of(relays.begin(), relays.end(), isLarge));
        largeReaders += isLarge(roster.readersOf("targets", start).front()) ? 1 : 0;
        largeLeaders += isLarge(roster.zoneLeader(start)) ? 1 : 0;
    }
    // A reader's broadcast to all others would fill the link of a small VM.
    CHECK(largeReaders == trials);
    // The two large VMs have 1.0 of 1.63 cores.
    CHECK(largeLeaders > trials / 2);
    CHECK(largeLeaders < trials);
}

TEST_CASE("VmRoster lets the region nearest to the platform read for all, and ranks other regions behind it")
{
    // Guards against each region reading the same list, and against reading it over a long distance in several calls.
    std::vector<VmRecord> records { record("a", "cuyo"), record("b", "cuyo"), record("far", "pampa"),
                                    record("farther", "pampa") };
    VmRoster near(VmId("a"), records[0].locality, {});
    VmRoster far(VmId("far"), records[2].locality, {});
    for (VmRoster *const roster : { &near, &far }) {
        roster->applyRecords(records, start);
        // No round trip is known: each region reads for itself.
        CHECK(roster->isNearestToPlatform());
    }
    records[1].platformRoundTrip = Milliseconds(8);
    records[2].platformRoundTrip = Milliseconds(90);
    records[2].startedAtMilliseconds = records[1].startedAtMilliseconds = 2;
    for (VmRoster *const roster : { &near, &far }) {
        roster->applyRecords(records, start);
    }
    CHECK(near.isNearestToPlatform());
    CHECK(!far.isNearestToPlatform());
    CHECK(near.readerRank("targets", true, start) == near.readerRank("targets", false, start));
    CHECK(far.readerRank("targets", true, start) == far.readerRank("targets", false, start) + 1);
    CHECK(near.relaysOf("targets", RegionId("pampa")).size() == 2);
    CHECK(near.relaysOf("targets", RegionId("nowhere")).empty());
}

TEST_CASE("VmRoster in a large region counts a VM as dead that two others report, until its next heartbeat")
{
    // Guards against a dead VM that counts as serving until its next heartbeat is overdue, and against one VM with a
    // broken link that makes another one count as dead.
    constexpr int count = 146;
    std::vector<VmRecord> records;
    records.reserve(count);
    for (int i = 0; i < count; ++i) {
        records.push_back(record(("vm-" + std::to_string(i)).c_str(), "cuyo"));
    }
    VmRoster roster(VmId("vm-0"), records[0].locality, {});
    roster.applyRecords(records, start);
    const auto unwatched = std::find_if(records.begin() + 1, records.end(), [&](const VmRecord &peer) {
        return !roster.mustReportSilence(peer.vm);
    });
    REQUIRE(unwatched != records.end());
    const VmId &vm = unwatched->vm;
    roster.noteHeartbeat(vm, 1, {}, start);
    const TimePoint later = start + Milliseconds(3'500);
    CHECK(roster.isServing(vm, later));
    roster.noteReportedSilent(vm, VmId("vm-1"), later);
    roster.noteReportedSilent(vm, VmId("vm-1"), later);
    CHECK(roster.isServing(vm, later));
    roster.noteReportedSilent(vm, VmId("vm-2"), later);
    CHECK(!roster.isServing(vm, later));
    roster.noteHeartbeat(vm, 1, {}, later);
    CHECK(roster.isServing(vm, later));
    roster.noteReportedSilent(vm, VmId("vm-1"), later);
    roster.noteReportedSilent(vm, VmId("vm-2"), later);
    CHECK(roster.isServing(vm, later));
    CHECK(!roster.isServing(vm, later + Milliseconds(10'000)));
}

TEST_CASE("VmRoster lets available VMs with a large processor share forward documents first, in each availability zone")
{
    // Guards against documents that wait for a dead VM, or that the link of a small one carries for a whole zone.
    std::vector<VmRecord> records;
    for (const char *vm : { "own", "a1", "a2", "b1", "b2", "b3", "far" }) {
        records.push_back(record(vm, vm == std::string("far") ? "pampa" : "cuyo"));
        records.back().locality.availabilityZone = AvailabilityZoneId(vm[0] == 'b' ? "cuyo-b" : "cuyo-a");
        records.back().processorShare = vm[1] == '2' ? 0.5 : 0.07;
    }
    VmRoster roster(VmId("own"), records.front().locality, {});
    roster.applyRecords(records, start);
    const TimePoint now = start + Milliseconds(2'000);
    for (const char *vm : { "a1", "a2", "b1", "b3" }) {
        roster.noteHeartbeat(VmId(vm), 1, {}, now);
    }
    const std::vector<std::vector<VmId>> zones = roster.forwardersByZone(now);
    REQUIRE(zones.size() == 2);
    CHECK(zones[0] == std::vector { VmId("a2"), VmId("a1") });
    REQUIRE(zones[1].size() == 3);
    // Nothing was heard of b2.
    CHECK(zones[1].back() == VmId("b2"));
}

TEST_CASE("VmRoster chooses a living relay in each other availability zone, but not the same one for all senders")
{
    // Guards against one message across availability zones for each VM, and against a zone that gets no messages while
    // its only relay is dead.
    const auto inZone = [](const std::string &vm, const char *region, const char *zone) {
        VmRecord result = record(vm.c_str(), region);
        result.locality.availabilityZone = AvailabilityZoneId(zone);
        return result;
    };
    std::vector<VmRecord> records { inZone("far", "pampa", "pampa-a") };
    for (int i = 0; i < 20; ++i) {
        const std::string number = std::to_string(i);
        records.push_back(inZone("a" + number, "cuyo", "cuyo-a"));
        records.push_back(inZone("b" + number, "cuyo", "cuyo-b"));
        records.push_back(inZone("c" + number, "cuyo", "cuyo-c"));
    }
    std::set<VmId> chosen;
    for (int sender = 0; sender < 20; ++sender) {
        const VmRecord own = inZone("a" + std::to_string(sender), "cuyo", "cuyo-a");
        VmRoster roster(own.vm, own.locality, {});
        roster.applyRecords(records, start);
        const TimePoint later = start + Milliseconds(2'000);
        for (const VmRecord &vm : records) {
            // The other VMs in zone c are dead.
            if (vm.locality.availabilityZone != AvailabilityZoneId("cuyo-c") || vm.vm == VmId("c7")) {
                roster.noteHeartbeat(vm.vm, 1, {}, later);
            }
        }
        CHECK(roster.peersInZone().size() == 19);
        const std::vector<VmRecord> relays = roster.zoneRelays(later);
        REQUIRE(relays.size() == 2);
        CHECK(relays[0].locality.availabilityZone == AvailabilityZoneId("cuyo-b"));
        CHECK(relays[1].vm == VmId("c7"));
        chosen.insert(relays[0].vm);
    }
    CHECK(chosen.size() >= 10);
}
