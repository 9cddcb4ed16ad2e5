#include <LibEntry/DutyFixture.h>
#include <LibEntry/EntryEvents.h>
#include <LibEntry/TargetListDuty.h>

#include <atomic>
#include <mutex>

using namespace Sapphire;

namespace {

KnownTarget target(const char *id)
{
    KnownTarget result;
    result.id = TargetId(id);
    result.service = ServiceId("s");
    result.address = "127.0.0.1:1";
    result.availabilityZone = AvailabilityZoneId("cuyo-a");
    result.slots = 4;
    return result;
}

/// A list that the test sets.
class SetTargetList final : public TargetListSource
{
public:
    void set(std::vector<KnownTarget> targets)
    {
        const std::lock_guard guard(m_mutex);
        m_targets = std::move(targets);
    }
    int readings() const
    {
        return m_readings;
    }
    /// Returns how much time the first reading was given.
    Microseconds firstTime() const
    {
        return m_firstTime.load();
    }

private:
    Result<std::vector<KnownTarget>> read(Deadline deadline) override
    {
        if (m_readings++ == 0) {
            m_firstTime = deadline.remaining(BootClock().now());
        }
        const std::lock_guard guard(m_mutex);
        return m_targets;
    }

    std::mutex m_mutex;
    std::vector<KnownTarget> m_targets;
    std::atomic<int> m_readings { 0 };
    std::atomic<Microseconds> m_firstTime { Microseconds(0) };
};

struct Fixture : DutyFixture
{
    explicit Fixture(std::vector<KnownTarget> targets)
    {
        source.set(std::move(targets));
        duty.start({ EntryEvents::targetListLost, EntryEvents::targetListBack });
        REQUIRE(runUntil([&] {
            return !peers.readings().empty();
        }));
    }
    ~Fixture()
    {
        duty.stop();
    }

    SetTargetList source;
    std::vector<TargetListChange> changes;
    TargetListDuty duty { parts(), {}, source, [this](const TargetListChange &change) {
                             changes.push_back(change);
                         } };
};

} // namespace

TEST_CASE("TargetListDuty takes from another VM that a target has lost its caches")
{
    // Guards against a cold target that gets the requests of a warm one from all VMs but the one that read the list:
    // the time for which it stays cold is no part of the list's digest.
    Fixture fixture({ target("a") });
    KnownTarget cold = target("a");
    cold.coldUntil = fixture.clock.now() + Milliseconds(3'000);
    const std::uint64_t digest = fixture.peers.readings().back().digest;
    fixture.changes.clear();
    fixture.duty.takeReading(
        { SourceKind::Targets, digest, fixture.clock.now(), { digest, digest, { cold }, {} }, {} });
    REQUIRE(fixture.changes.size() == 1);
    REQUIRE(fixture.changes[0].changed.size() == 1);
    CHECK(fixture.changes[0].changed[0].coldUntil == cold.coldUntil);
}

TEST_CASE("TargetListDuty tells what is new, part by part")
{
    // Guards against VMs that hear of a large change too late, since it fits into no datagram.
    Fixture fixture({ target("a") });
    constexpr std::size_t count = 100;
    constexpr std::size_t mostEntries = 24;
    std::vector<KnownTarget> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    fixture.source.set(targets);
    std::size_t told = 0;
    REQUIRE(fixture.runUntil([&] {
        told = 0;
        for (const SourceUpdate &reading : fixture.peers.readings()) {
            CHECK(reading.change.entryCount() <= mostEntries);
            told += reading.change.entryCount();
        }
        return told > 0;
    }));
    CHECK(told == count + 1);
}

TEST_CASE("TargetListDuty asks another VM for a change that it could not follow, and takes it")
{
    // Guards against a reading of the whole list by each VM that has lost a datagram.
    Fixture reader({ target("a"), target("b") });
    Fixture follower({ target("a"), target("b") });
    KnownTarget draining = target("a");
    draining.isDraining = true;
    reader.source.set({ draining, target("c") });
    REQUIRE(reader.runUntil([&] {
        return reader.peers.readings().back().change.entryCount() > 0;
    }));
    SourceUpdate told = reader.peers.readings().back();
    told.change = {};
    told.origin = VmId("reader");
    follower.changes.clear();
    follower.duty.takeReading(told);
    REQUIRE(follower.runUntil([&] {
        return !follower.peers.questions().empty();
    }));
    CHECK(follower.peers.questions().front().vm == VmId("reader"));
    reader.duty.answer(VmId("follower"), follower.peers.questions().front().digests);
    REQUIRE(reader.peers.statements().size() == 1);
    CHECK(reader.peers.statements().front().buckets.size() <= 3);
    follower.duty.takeStatement(reader.peers.statements().front());
    std::size_t changed = 0;
    std::size_t removed = 0;
    for (const TargetListChange &change : follower.changes) {
        changed += change.changed.size();
        removed += change.removed.size();
    }
    CHECK(changed == 2);
    CHECK(removed == 1);
}

TEST_CASE("TargetListDuty in a large region takes its first list from another VM, and all of it at once")
{
    // Guards against a restart of a large fleet in which all VMs read thousands of targets, and against a VM that sends
    // all requests to the first few targets that it hears of.
    constexpr std::size_t count = 500;
    std::vector<KnownTarget> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    Fixture helper(targets);
    DutyFixture fixture;
    std::vector<VmRecord> records;
    for (int i = 0; i < 40; ++i) {
        VmRecord record;
        record.vm = VmId("vm-" + std::to_string(i));
        record.place = fixture.place;
        // The VM under test is the last one that others would choose for anything.
        record.processorShare = 1'000;
        records.push_back(record);
    }
    VmRecord own;
    own.vm = fixture.own;
    own.place = fixture.place;
    own.processorShare = 0.001;
    records.push_back(own);
    fixture.roster.applyRecords(records, fixture.clock.now());
    SetTargetList source;
    std::vector<TargetListChange> changes;
    TargetListDuty duty(fixture.parts(), {}, source, [&](const TargetListChange &change) {
        changes.push_back(change);
    });
    duty.start({ EntryEvents::targetListLost, EntryEvents::targetListBack });
    REQUIRE(fixture.runUntil([&] {
        return !fixture.peers.questions().empty();
    }));
    CHECK(fixture.peers.questions().front().vm == fixture.roster.headOfZone(fixture.clock.now()));
    helper.duty.answer(fixture.own, fixture.peers.questions().front().digests);
    const TargetSyncReply whole = helper.peers.statements().front();
    TargetSyncReply part = whole;
    part.buckets.resize(part.buckets.size() / 2);
    duty.takeStatement(part);
    CHECK(changes.empty());
    part.buckets.assign(whole.buckets.begin() + static_cast<std::ptrdiff_t>(whole.buckets.size() / 2),
                        whole.buckets.end());
    duty.takeStatement(part);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().changed.size() == count);
    CHECK(source.readings() == 0);
    duty.stop();
}

TEST_CASE("TargetListDuty passes on what the region nearest to the platform has read, and nothing else")
{
    // Guards against regions that hear of nothing because one region reads for all, and against news that go round.
    Fixture fixture({ target("a") });
    VmRecord own;
    own.vm = fixture.own;
    own.place = fixture.place;
    own.platformRoundTrip = Milliseconds(90);
    VmRecord near = own;
    near.vm = VmId("near");
    near.place = { RegionId("pampa"), AvailabilityZoneId("pampa-a") };
    near.platformRoundTrip = Milliseconds(8);
    VmRecord neighbour = own;
    neighbour.vm = VmId("neighbour");
    for (VmRecord *const record : { &own, &near, &neighbour }) {
        record->startedAtMilliseconds = 1;
    }
    fixture.roster.applyRecords({ own, near, neighbour }, fixture.clock.now());
    fixture.duty.check();
    const std::uint64_t digest = fixture.peers.readings().back().digest;
    const std::size_t relayedBefore = fixture.peers.relayed().size();
    const auto take = [&](const VmRecord &teller) {
        const std::size_t before = fixture.peers.readings().size();
        SourceUpdate reading { SourceKind::Targets, digest, fixture.clock.now(), {}, {} };
        reading.origin = teller.vm;
        fixture.duty.takeReading(reading);
        return fixture.peers.readings().size() - before;
    };
    CHECK(take(near) == 1);
    CHECK(fixture.peers.readings().back().isRelayed);
    CHECK(take(neighbour) == 0);
    CHECK(fixture.peers.relayed().size() == relayedBefore);
    // A VM whose list of VMs is from before its own entry passes news on as well.
    fixture.roster.applyRecords({ near, neighbour }, fixture.clock.now());
    CHECK(take(near) == 1);
    CHECK(take(neighbour) == 0);
}

TEST_CASE("TargetListDuty takes the other parts of a reading of which one was lost, and asks for that one alone")
{
    // Guards against a start of a large fleet in which each lost datagram makes a VM ask for the whole list.
    constexpr std::size_t count = 100;
    std::vector<KnownTarget> targets;
    targets.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    Fixture reader({ target("a") });
    Fixture follower({ target("a") });
    reader.source.set(targets);
    REQUIRE(reader.runUntil([&] {
        return reader.peers.readings().back().change.entryCount() > 0;
    }));
    std::vector<SourceUpdate> parts;
    for (const SourceUpdate &reading : reader.peers.readings()) {
        if (reading.change.entryCount() > 0) {
            parts.push_back(reading);
        }
    }
    REQUIRE(parts.size() > 2);
    follower.changes.clear();
    std::size_t taken = 0;
    for (std::size_t i = 1; i < parts.size(); ++i) {
        parts[i].origin = VmId("reader");
        follower.duty.takeReading(parts[i]);
        taken += parts[i].change.entryCount();
    }
    std::size_t changed = 0;
    for (const TargetListChange &change : follower.changes) {
        changed += change.entryCount();
    }
    CHECK(changed == taken);
    REQUIRE(follower.runUntil([&] {
        return !follower.peers.questions().empty();
    }));
    reader.duty.answer(VmId("follower"), follower.peers.questions().front().digests);
    CHECK(reader.peers.statements().front().buckets.size() <= parts.front().change.entryCount());
}

TEST_CASE("TargetListDuty takes nothing from a part of a reading that is older than what it has")
{
    // Guards against a target that is gone and comes back with a datagram that was late.
    Fixture fixture({ target("a") });
    const std::uint64_t digest = fixture.peers.readings().back().digest;
    const TimePoint before = fixture.clock.now() - Milliseconds(5'000);
    fixture.changes.clear();
    fixture.duty.takeReading(
        { SourceKind::Targets, digest + 2, before, { digest + 1, digest + 2, { target("gone") }, {} }, {} });
    CHECK(fixture.changes.empty());
}

TEST_CASE("TargetListDuty gives its first reading time for a long list")
{
    // Guards against a VM far from the platform that never ends its first reading, since it doesn't know how long the
    // list is.
    const Fixture fixture({ target("a") });
    CHECK(fixture.source.firstTime() > Milliseconds(2'000));
}
