#include <Fakes/EndpointText.h>
#include <LibEntry/EntryEvents.h>
#include <LibEntry/SynchronizerFixture.h>
#include <LibEntry/TargetListSynchronizer.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <span>

using namespace Sapphire;

namespace {

TargetListEntry target(const char *id)
{
    TargetListEntry result;
    result.id = TargetId(id);
    result.service = ServiceId("s");
    result.address = endpoint("127.0.0.1:1");
    result.availabilityZone = AvailabilityZoneId("cuyo-a");
    result.slots = 4;
    return result;
}

/// A target list that the test sets.
class FakeTargetList final : public TargetListSource
{
public:
    void set(std::vector<TargetListEntry> targets, SourceEpoch epoch = SourceEpoch(1))
    {
        const std::lock_guard guard(m_mutex);
        m_targets = std::move(targets);
        m_epoch = epoch;
    }
    int reads() const
    {
        return m_reads;
    }
    /// Reads that begin from now on end when release() is called, with the targets of their begin.
    void hold()
    {
        const std::lock_guard guard(m_mutex);
        m_isHeld = true;
    }
    void release()
    {
        const std::lock_guard guard(m_mutex);
        m_isHeld = false;
        m_released.notify_all();
    }
    /// Returns how much time the first read had.
    Microseconds firstReadTimeout() const
    {
        return m_firstReadTimeout.load();
    }

private:
    Result<TargetListing> read(Deadline deadline) override
    {
        if (m_reads++ == 0) {
            m_firstReadTimeout = deadline.remaining(BootClock().now());
        }
        std::unique_lock lock(m_mutex);
        TargetListing listing { m_targets, m_epoch };
        m_released.wait(lock, [this] {
            return !m_isHeld;
        });
        return listing;
    }

    std::mutex m_mutex;
    std::condition_variable m_released;
    bool m_isHeld { false };
    std::vector<TargetListEntry> m_targets;
    SourceEpoch m_epoch;
    std::atomic<int> m_reads { 0 };
    std::atomic<Microseconds> m_firstReadTimeout { Microseconds(0) };
};

struct Fixture : SynchronizerFixture
{
    explicit Fixture(std::vector<TargetListEntry> targets)
    {
        source.set(std::move(targets));
        synchronizer.start({ EntryEvents::targetListLost, EntryEvents::targetListBack });
        REQUIRE(runUntil([&] {
            return !peers.updates().empty();
        }));
    }
    ~Fixture()
    {
        synchronizer.stop();
    }

    FakeTargetList source;
    std::vector<TargetListChange> changes;
    TargetListSynchronizer synchronizer { context(), {}, source, [this](const TargetListChange &change) {
                                             changes.push_back(change);
                                         } };
};

} // namespace

TEST_CASE("TargetListSynchronizer applies another VM's update that a target has lost its caches")
{
    // Guards against a cold target that gets the requests of a warm one from all VMs but the one that read the list:
    // the time for which it stays cold is no part of the list's digest.
    Fixture fixture({ target("a") });
    TargetListEntry cold = target("a");
    cold.coldUntil = fixture.clock.now() + Milliseconds(3'000);
    const std::uint64_t digest = fixture.peers.updates().back().digest;
    fixture.changes.clear();
    fixture.synchronizer.takeUpdate(
        { SourceKind::Targets, digest, fixture.clock.now(), { digest, digest, { cold }, {} }, {} });
    REQUIRE(fixture.changes.size() == 1);
    REQUIRE(fixture.changes[0].changed.size() == 1);
    CHECK(fixture.changes[0].changed[0].coldUntil == cold.coldUntil);
}

TEST_CASE("TargetListSynchronizer broadcasts a large change in several updates")
{
    // Guards against VMs that get a large change too late, since it fits into no datagram.
    Fixture fixture({ target("a") });
    constexpr std::size_t count = 100;
    constexpr std::size_t mostEntries = 24;
    std::vector<TargetListEntry> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    fixture.source.set(targets);
    std::size_t broadcastEntries = 0;
    REQUIRE(fixture.runUntil([&] {
        broadcastEntries = 0;
        for (const SourceUpdate &update : fixture.peers.updates()) {
            CHECK(update.change.entryCount() <= mostEntries);
            broadcastEntries += update.change.entryCount();
        }
        return broadcastEntries > 0;
    }));
    CHECK(broadcastEntries == count + 1);
}

TEST_CASE("TargetListSynchronizer requests a change that it could not apply from another VM, and applies the reply")
{
    // Guards against VMs that read the whole list because they lost a datagram.
    Fixture reader({ target("a"), target("b") });
    Fixture follower({ target("a"), target("b") });
    TargetListEntry draining = target("a");
    draining.isDraining = true;
    reader.source.set({ draining, target("c") });
    REQUIRE(reader.runUntil([&] {
        return reader.peers.updates().back().change.entryCount() > 0;
    }));
    SourceUpdate incompleteUpdate = reader.peers.updates().back();
    incompleteUpdate.change = {};
    incompleteUpdate.origin = VmId("reader");
    follower.changes.clear();
    follower.synchronizer.takeUpdate(incompleteUpdate);
    REQUIRE(follower.runUntil([&] {
        return !follower.peers.syncRequests().empty();
    }));
    CHECK(follower.peers.syncRequests().front().vm == VmId("reader"));
    reader.synchronizer.answerSyncRequest(VmId("follower"), follower.peers.syncRequests().front().digests);
    REQUIRE(reader.peers.syncReplies().size() == 1);
    CHECK(reader.peers.syncReplies().front().buckets.size() <= 3);
    follower.synchronizer.takeSyncReply(reader.peers.syncReplies().front());
    std::size_t changed = 0;
    std::size_t removed = 0;
    for (const TargetListChange &change : follower.changes) {
        changed += change.changed.size();
        removed += change.removed.size();
    }
    CHECK(changed == 2);
    CHECK(removed == 1);
}

TEST_CASE("TargetListSynchronizer in a large region takes its first list from another VM, and all of it at once")
{
    // Guards against a restart of a large fleet in which all VMs read thousands of targets, and against a VM that sends
    // all requests to the first few targets that it gets.
    constexpr std::size_t count = 500;
    std::vector<TargetListEntry> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    Fixture syncPeer(targets);
    SynchronizerFixture fixture;
    std::vector<VmRecord> records;
    for (int i = 0; i < 40; ++i) {
        VmRecord record;
        record.vm = VmId("vm-" + std::to_string(i));
        record.locality = fixture.locality;
        // The VM under test has the least processor share, so that it is never chosen as a reader or zone leader.
        record.processorShare = 1'000;
        records.push_back(record);
    }
    VmRecord own;
    own.vm = fixture.own;
    own.locality = fixture.locality;
    own.processorShare = 0.001;
    records.push_back(own);
    fixture.roster.applyRecords(records, fixture.clock.now());
    FakeTargetList source;
    std::vector<TargetListChange> changes;
    TargetListSynchronizer synchronizer(fixture.context(), {}, source, [&](const TargetListChange &change) {
        changes.push_back(change);
    });
    synchronizer.start({ EntryEvents::targetListLost, EntryEvents::targetListBack });
    REQUIRE(fixture.runUntil([&] {
        return !fixture.peers.syncRequests().empty();
    }));
    CHECK(fixture.peers.syncRequests().front().vm == fixture.roster.zoneLeader(fixture.clock.now()));
    syncPeer.synchronizer.answerSyncRequest(fixture.own, fixture.peers.syncRequests().front().digests);
    const TargetSyncReply whole = syncPeer.peers.syncReplies().front();
    TargetSyncReply part = whole;
    part.buckets.resize(part.buckets.size() / 2);
    synchronizer.takeSyncReply(part);
    CHECK(changes.empty());
    part.buckets.assign(whole.buckets.begin() + static_cast<std::ptrdiff_t>(whole.buckets.size() / 2),
                        whole.buckets.end());
    synchronizer.takeSyncReply(part);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().changed.size() == count);
    CHECK(source.reads() == 0);
    synchronizer.stop();
}

TEST_CASE("TargetListSynchronizer forwards updates from the region nearest to the platform, and no others")
{
    // Guards against regions that get no updates because one region reads for all, and against updates that circulate.
    Fixture fixture({ target("a") });
    VmRecord own;
    own.vm = fixture.own;
    own.locality = fixture.locality;
    own.platformRoundTrip = Milliseconds(90);
    VmRecord near = own;
    near.vm = VmId("near");
    near.locality = { RegionId("pampa"), AvailabilityZoneId("pampa-a") };
    near.platformRoundTrip = Milliseconds(8);
    VmRecord neighbour = own;
    neighbour.vm = VmId("neighbour");
    for (VmRecord *const record : { &own, &near, &neighbour }) {
        record->startedAtMilliseconds = 1;
    }
    fixture.roster.applyRecords({ own, near, neighbour }, fixture.clock.now());
    fixture.synchronizer.check();
    const std::uint64_t digest = fixture.peers.updates().back().digest;
    const std::size_t relayedBefore = fixture.peers.relayed().size();
    const auto take = [&](const VmRecord &originVm) {
        const std::size_t before = fixture.peers.updates().size();
        SourceUpdate update { SourceKind::Targets, digest, fixture.clock.now(), {}, {} };
        update.origin = originVm.vm;
        fixture.synchronizer.takeUpdate(update);
        return fixture.peers.updates().size() - before;
    };
    CHECK(take(near) == 1);
    CHECK(fixture.peers.updates().back().isRelayed);
    CHECK(take(neighbour) == 0);
    CHECK(fixture.peers.relayed().size() == relayedBefore);
    // A VM whose list of VMs doesn't contain itself yet forwards updates as well.
    fixture.roster.applyRecords({ near, neighbour }, fixture.clock.now());
    CHECK(take(near) == 1);
    CHECK(take(neighbour) == 0);
}

TEST_CASE("TargetListSynchronizer applies the other updates of a read if one was lost, and requests only that one")
{
    // Guards against a start of a large fleet in which each lost datagram makes a VM ask for the whole list.
    constexpr std::size_t count = 100;
    std::vector<TargetListEntry> targets;
    targets.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    Fixture reader({ target("a") });
    Fixture follower({ target("a") });
    reader.source.set(targets);
    REQUIRE(reader.runUntil([&] {
        return reader.peers.updates().back().change.entryCount() > 0;
    }));
    std::vector<SourceUpdate> parts;
    for (const SourceUpdate &update : reader.peers.updates()) {
        if (update.change.entryCount() > 0) {
            parts.push_back(update);
        }
    }
    REQUIRE(parts.size() > 2);
    follower.changes.clear();
    std::size_t taken = 0;
    for (std::size_t i = 1; i < parts.size(); ++i) {
        parts[i].origin = VmId("reader");
        follower.synchronizer.takeUpdate(parts[i]);
        taken += parts[i].change.entryCount();
    }
    std::size_t changed = 0;
    for (const TargetListChange &change : follower.changes) {
        changed += change.entryCount();
    }
    CHECK(changed == taken);
    REQUIRE(follower.runUntil([&] {
        return !follower.peers.syncRequests().empty();
    }));
    reader.synchronizer.answerSyncRequest(VmId("follower"), follower.peers.syncRequests().front().digests);
    CHECK(reader.peers.syncReplies().front().buckets.size() <= parts.front().change.entryCount());
}

TEST_CASE("TargetListSynchronizer ignores an update that is older than what it has")
{
    // Guards against a removed target that comes back with a late datagram.
    Fixture fixture({ target("a") });
    const std::uint64_t digest = fixture.peers.updates().back().digest;
    const TimePoint before = fixture.clock.now() - Milliseconds(5'000);
    fixture.changes.clear();
    fixture.synchronizer.takeUpdate(
        { SourceKind::Targets, digest + 2, before, { digest + 1, digest + 2, { target("gone") }, {} }, {} });
    CHECK(fixture.changes.empty());
}

TEST_CASE("TargetListSynchronizer ignores an old update that starts from the list that it has")
{
    // Guards against requests to a draining target since a VM that stood still tells the list that it read before.
    const TargetListEntry ready = target("a");
    TargetListEntry draining = ready;
    draining.isDraining = true;
    Fixture fixture({ draining });
    TargetList list;
    list.applyWhole({ draining }, {}, fixture.clock.now(), 1);
    REQUIRE(list.digest() == fixture.peers.updates().back().digest);
    const TargetListChange change = list.applyWhole({ ready }, {}, fixture.clock.now(), 1).front();
    fixture.changes.clear();
    fixture.synchronizer.takeUpdate(
        { SourceKind::Targets, change.digest, fixture.clock.now() - Milliseconds(4'000), change, {} });
    CHECK(fixture.changes.empty());
    // The same change is news if it was read later.
    fixture.synchronizer.takeUpdate({ SourceKind::Targets, change.digest, fixture.clock.now(), change, {} });
    CHECK(fixture.changes.size() == 1);
}

TEST_CASE("TargetListSynchronizer neither applies nor tells a read that is older than what it has been told since")
{
    // Guards against a VM that stood still during its read and replaces the newer list, here and at other VMs.
    const TargetListEntry ready = target("a");
    TargetListEntry draining = ready;
    draining.isDraining = true;
    Fixture fixture({ ready });
    fixture.source.hold();
    const int readsBefore = fixture.source.reads();
    REQUIRE(fixture.runUntil([&] {
        return fixture.source.reads() > readsBefore;
    }));
    TargetList list;
    list.applyWhole({ ready }, {}, fixture.clock.now(), 1);
    const TargetListChange change = list.applyWhole({ draining }, {}, fixture.clock.now(), 1).front();
    fixture.runFor(Milliseconds(300));
    fixture.changes.clear();
    fixture.synchronizer.takeUpdate({ SourceKind::Targets, change.digest, fixture.clock.now(), change, {} });
    REQUIRE(fixture.changes.size() == 1);
    const std::size_t updatesBefore = fixture.peers.updates().size();
    fixture.source.set({ draining });
    fixture.source.release();
    REQUIRE(fixture.runUntil([&] {
        return fixture.peers.updates().size() > updatesBefore;
    }));
    for (const TargetListChange &later : std::span(fixture.changes).subspan(1)) {
        CHECK(later.entryCount() == 0);
    }
    CHECK(fixture.peers.updates().back().digest == change.digest);
}

TEST_CASE("TargetListSynchronizer doesn't remove targets at once that the platform has lost")
{
    // Guards against targets that are dropped since the platform came back from a copy made before they joined.
    Fixture fixture({ target("a"), target("b"), target("c") });
    fixture.changes.clear();
    fixture.source.set({ target("a"), target("b") }, SourceEpoch(2));
    REQUIRE(fixture.runUntil([&] {
        return !fixture.changes.empty() && fixture.changes.back().entryCount() > 0;
    }));
    CHECK(fixture.changes.back().removed.empty());
    REQUIRE(fixture.changes.back().changed.size() == 1);
    CHECK(fixture.changes.back().changed.front().isDraining);
    // Its entry isn't written again: it has gone.
    CHECK(fixture.runUntil([&] {
        return !fixture.changes.back().removed.empty();
    }));
}

TEST_CASE("TargetListSynchronizer gives its first read enough time for a long list")
{
    // Guards against a VM far from the platform that never finishes its first read, since it doesn't know how long the
    // list is.
    const Fixture fixture({ target("a") });
    CHECK(fixture.source.firstReadTimeout() > Milliseconds(2'000));
}
