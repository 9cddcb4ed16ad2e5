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
    result.place.region = RegionId(region);
    result.startedAtMilliseconds = 1;
    return result;
}

} // namespace

TEST_CASE("VmRoster names VMs that were heard lately and are not leaving")
{
    // Guards against look-ups that name a VM that was killed or is stopping.
    VmRoster roster(VmId("own"), record("own", "cuyo").place, {});
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

TEST_CASE("VmRoster takes a VM that has entered after the first list for alive")
{
    // Guards against a VM that gets no callers before its first heartbeat, and, after a restart of this VM, against
    // naming VMs that died long ago.
    VmRoster roster(VmId("own"), record("own", "cuyo").place, {});
    roster.applyRecords({ record("own", "cuyo"), record("dead", "cuyo") }, start);
    roster.applyRecords({ record("own", "cuyo"), record("dead", "cuyo"), record("new", "cuyo") },
                        start + Milliseconds(1'000));
    CHECK(!roster.isServing(VmId("dead"), start + Milliseconds(1'000)));
    CHECK(roster.isServing(VmId("new"), start + Milliseconds(1'000)));
}

TEST_CASE("VmRoster finds VMs that are gone for good")
{
    // Guards against a lost VM's part of all limits that nobody uses.
    VmRoster roster(VmId("own"), record("own", "cuyo").place, {});
    roster.applyRecords({ record("own", "cuyo"), record("a", "cuyo"), record("far", "pampa") }, start);
    roster.noteHeartbeat(VmId("a"), 1, {}, start);
    CHECK(roster.silentFor(Milliseconds(20'000), start + Milliseconds(19'000)).empty());
    CHECK(roster.silentFor(Milliseconds(20'000), start + Milliseconds(21'000)) == std::vector { VmId("a") });
}

TEST_CASE("VmRoster chooses one reader, and another one when it dies, leaves or can't read")
{
    // Guards against a region in which all VMs read because the one that reads for them is refused by the platform.
    const std::vector<VmRecord> records { record("a", "cuyo"), record("b", "cuyo"), record("c", "cuyo"),
                                          record("far", "pampa") };
    VmRoster roster(VmId("a"), record("a", "cuyo").place, {});
    roster.applyRecords(records, start);
    const auto hear = [&](const VmId &vm, VmPresence presence, TimePoint now) {
        if (vm == VmId("a")) {
            roster.setOwnPresence(presence);
        } else {
            roster.noteHeartbeat(vm, 1, presence, now);
        }
    };
    for (const char *vm : { "b", "c" }) {
        hear(VmId(vm), {}, start);
    }
    const VmId first = roster.readersOf("targets", start).front();
    CHECK(!first.isEmpty());
    CHECK(first != VmId("far"));
    hear(first, { false, true }, start);
    const VmId second = roster.readersOf("targets", start).front();
    CHECK(second != first);
    hear(second, { true, false }, start);
    const VmId third = roster.readersOf("targets", start).front();
    CHECK(third != first);
    CHECK(third != second);
    // Nobody can read: the usual one tries for all.
    hear(second, { false, true }, start);
    hear(third, { false, true }, start);
    CHECK(roster.readersOf("targets", start).front() == first);
}

TEST_CASE("VmRoster lets VMs that started together agree on one reader before they have heard of each other")
{
    // Guards against a restart of the whole fleet in which every VM reads everything from the platform.
    const std::vector<VmRecord> records { record("a", "cuyo"), record("b", "cuyo"), record("c", "cuyo") };
    std::size_t readers = 0;
    for (const VmRecord &own : records) {
        VmRoster roster(own.vm, own.place, {});
        roster.applyRecords(records, start);
        readers += roster.readerRank("targets", false, start) == 0 ? 1 : 0;
        // The others are dead.
        CHECK(roster.readerRank("targets", false, start + Milliseconds(1'300)) == 0);
    }
    CHECK(readers == 1);
}

TEST_CASE("VmRoster prefers VMs with more processor as readers, relays and heads of their zone")
{
    // Guards against a small VM that spends its processor or its link on what it does for a hundred others.
    constexpr int trials = 200;
    int largeReaders = 0;
    int largeHeads = 0;
    for (int trial = 0; trial < trials; ++trial) {
        std::vector<VmRecord> records;
        for (int vm = 0; vm < 11; ++vm) {
            records.push_back(record(("vm-" + std::to_string(trial) + "-" + std::to_string(vm)).c_str(), "cuyo"));
            records.back().place.availabilityZone = AvailabilityZoneId("cuyo-a");
            records.back().processorShare = vm < 2 ? 0.5 : 0.07;
        }
        VmRoster roster(records.back().vm, records.back().place, {});
        roster.applyRecords(records, start);
        const auto isLarge = [&](const VmId &vm) {
            return vm == records[0].vm || vm == records[1].vm;
        };
        const std::vector<VmId> relays = roster.relaysOf("targets", RegionId("cuyo"));
        CHECK(std::all_of(relays.begin(), relays.end(), isLarge));
        largeReaders += isLarge(roster.readersOf("targets", start).front()) ? 1 : 0;
        largeHeads += isLarge(roster.zoneLeader(start)) ? 1 : 0;
    }
    // What a reader tells all others would fill the link of a small VM.
    CHECK(largeReaders == trials);
    // The large VMs have 1.0 of 1.63 cores.
    CHECK(largeHeads > trials / 2);
    CHECK(largeHeads < trials);
}

TEST_CASE("VmRoster lets the region that is nearest to the platform read for all, and the others come after it")
{
    // Guards against readings of the same list by each region, and by VMs for which a list of several calls takes long.
    std::vector<VmRecord> records { record("a", "cuyo"), record("b", "cuyo"), record("far", "pampa"),
                                    record("farther", "pampa") };
    VmRoster near(VmId("a"), records[0].place, {});
    VmRoster far(VmId("far"), records[2].place, {});
    for (VmRoster *const roster : { &near, &far }) {
        roster->applyRecords(records, start);
        // Nobody has said how far it is: each region reads for itself.
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

TEST_CASE("VmRoster in a large region takes a VM for dead that two others report, until it is heard again")
{
    // Guards against a dead VM that is named for as long as its next heartbeat would take, and against one VM with a
    // broken link that takes another one out.
    constexpr int count = 146;
    std::vector<VmRecord> records;
    records.reserve(count);
    for (int i = 0; i < count; ++i) {
        records.push_back(record(("vm-" + std::to_string(i)).c_str(), "cuyo"));
    }
    VmRoster roster(VmId("vm-0"), records[0].place, {});
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

TEST_CASE("VmRoster names one living VM in each other availability zone of the region, and not the same to all tellers")
{
    // Guards against a message for each VM that crosses availability zones, and against a zone that hears nothing
    // while the only VM that passes messages on is dead.
    const auto inZone = [](const std::string &vm, const char *region, const char *zone) {
        VmRecord result = record(vm.c_str(), region);
        result.place.availabilityZone = AvailabilityZoneId(zone);
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
    for (int teller = 0; teller < 20; ++teller) {
        const VmRecord own = inZone("a" + std::to_string(teller), "cuyo", "cuyo-a");
        VmRoster roster(own.vm, own.place, {});
        roster.applyRecords(records, start);
        const TimePoint later = start + Milliseconds(2'000);
        for (const VmRecord &vm : records) {
            // The others in zone c are dead.
            if (vm.place.availabilityZone != AvailabilityZoneId("cuyo-c") || vm.vm == VmId("c7")) {
                roster.noteHeartbeat(vm.vm, 1, {}, later);
            }
        }
        CHECK(roster.peersInZone().size() == 19);
        const std::vector<VmRecord> relays = roster.zoneRelays(later);
        REQUIRE(relays.size() == 2);
        CHECK(relays[0].place.availabilityZone == AvailabilityZoneId("cuyo-b"));
        CHECK(relays[1].vm == VmId("c7"));
        chosen.insert(relays[0].vm);
    }
    CHECK(chosen.size() >= 10);
}
