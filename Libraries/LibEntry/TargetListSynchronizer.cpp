#include <LibEntry/TargetListSynchronizer.h>

#include <LibCore/Duration.h>
#include <LibEntry/EntryEvents.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

constexpr Milliseconds callTime { 1'500 };
// A long list takes several calls, one after the other, and a sync peer answers the VMs that ask it one after the
// other.
constexpr std::size_t targetsPerCall = 500;
constexpr Milliseconds timePerCall { 500 };
constexpr Milliseconds syncTimePerCall { 250 };
constexpr Milliseconds firstCallTime { 4'000 };
// A datagram that is split into many packets is lost if one of them is.
constexpr std::size_t mostEntriesPerDatagram = 24;
// For this long a VM asks other VMs for a lost change before it reads the whole list.
constexpr Milliseconds smallRegionSyncTime { 300 };
// The VMs of a large region would saturate their link to the platform if all of them read thousands of targets. The
// first few in the order of readers get the time for a read of their own before the others read, too.
constexpr Milliseconds largeRegionSyncTime { 1'500 };
constexpr Milliseconds largeRegionConfirmationTimeout { 3'200 };
// The updates of one read arrive within this time. Their read times follow from their ages and may differ by as much.
constexpr Milliseconds partTime { 100 };
// In a region with more VMs than this a starting VM takes the list from another VM. If that takes longer than
// longestStart, it reads the list itself at a random time within startSpread.
constexpr std::size_t largeRegion = 16;
constexpr Milliseconds longestStart { 2'000 };
constexpr Milliseconds startSpread { 1'000 };

ReadScheduleSettings scheduleSettings()
{
    ReadScheduleSettings settings;
    settings.peerSyncTimeout = smallRegionSyncTime;
    return settings;
}

} // namespace

TargetListSynchronizer::TargetListSynchronizer(const SynchronizerContext &context,
                                               const TargetListSynchronizerSettings &settings, TargetListSource &source,
                                               std::function<void(const TargetListChange &)> onChange)
    : SharedSourceSynchronizer(context, SourceKind::Targets, scheduleSettings())
    , m_settings(settings)
    , m_source(source)
    , m_onChange(std::move(onChange))
    , m_readTimeout(firstCallTime)
{
}

TargetListSynchronizer::~TargetListSynchronizer()
{
    stop();
}

Result<SharedSourceSynchronizer::Task> TargetListSynchronizer::read(bool)
{
    const Clock &clock = loop().clock();
    const TimePoint begunAt = clock.now();
    BOOST_LEAF_AUTO(listing, m_source.read(Deadline::after(begunAt, m_readTimeout.load())));
    return Task([this, listing = std::move(listing), begunAt] {
        takeList(listing, begunAt);
    });
}

void TargetListSynchronizer::takeList(const TargetListing &listing, TimePoint begunAt)
{
    const SourceEpoch before = std::exchange(m_epoch, listing.epoch);
    if (m_epoch > before && before != SourceEpoch()) {
        // The copy lacks the targets that have joined since; they write their entries again.
        m_grace.noteFailure();
    }
    m_grace.noteSuccess(loop().now());
    if (schedule().isOutdated(begunAt)) {
        // This VM was told a newer list while the read went on, or while it stood still itself.
        finishOutdatedRead(begunAt);
        return;
    }
    std::vector<TargetListChange> parts =
        m_list.applyWhole(listing.targets, m_grace, loop().now(), mostEntriesPerDatagram);
    std::vector<SourceUpdate> updates;
    for (TargetListChange &part : parts) {
        m_onChange(part);
        updates.push_back({ SourceKind::Targets, part.digest, begunAt, std::move(part), {} });
    }
    if (!schedule().hasList()) {
        // What the first read finds is new to this VM only.
        updates = { { SourceKind::Targets, m_list.digest(), begunAt, {}, {} } };
    }
    finishRead(updates);
}

void TargetListSynchronizer::applyUpdate(const SourceUpdate &update)
{
    if (schedule().isOutdated(update.readAt)) {
        finishUpdate(update);
        return;
    }
    if (m_list.applyChange(update.change)) {
        schedule().setDigest(m_list.digest());
        m_onChange(update.change);
    } else {
        m_lastOrigin = update.origin;
        mergeUpdate(update);
    }
    finishUpdate(update);
}

void TargetListSynchronizer::mergeUpdate(const SourceUpdate &update)
{
    const bool isOlder = update.readAt <= schedule().confirmedAt() || update.readAt + partTime < m_mergedReadAt;
    if (!schedule().hasList() || isOlder || update.change.entryCount() == 0) {
        return;
    }
    m_mergedReadAt = std::max(m_mergedReadAt, update.readAt);
    m_list.merge(update.change);
    schedule().setDigest(m_list.digest());
    m_onChange(update.change);
}

void TargetListSynchronizer::adjustTimeouts()
{
    const auto calls = static_cast<std::int64_t>(m_list.size() / targetsPerCall);
    const bool isLarge = context().roster.isRegionLarge();
    if (schedule().hasList()) {
        m_readTimeout = callTime + timePerCall * calls;
    }
    schedule().setTimeouts((isLarge ? largeRegionSyncTime : smallRegionSyncTime) + syncTimePerCall * calls,
                           isLarge ? largeRegionConfirmationTimeout : ReadScheduleSettings {}.confirmationTimeout);
}

void TargetListSynchronizer::readFailed()
{
    m_grace.noteFailure();
}

void TargetListSynchronizer::requestSync(std::size_t rank)
{
    const TimePoint now = loop().now();
    adjustTimeouts();
    if (!std::exchange(m_hasPlannedStart, true)) {
        const bool isLarge = context().roster.readersOf("", now).size() > largeRegion;
        if (isLarge || m_settings.isFirstStart) {
            schedule().waitForSync(Deadline::after(now, longestStart + scaled(startSpread, m_random.unit())));
        }
    }
    const bool isReading = !schedule().hasList() && rank == 0;
    if (!schedule().isIncomplete() || isReading) {
        m_syncRequests.reset();
        return;
    }
    const SyncRequestPolicy::Choice choice = m_syncRequests.next(now);
    if (choice == SyncRequestPolicy::Choice::Nobody) {
        return;
    }
    const VmId syncPeer = choice == SyncRequestPolicy::Choice::Preferred ? preferredSyncPeer(rank) : randomSyncPeer();
    if (!syncPeer.isEmpty() && syncPeer != context().own) {
        context().peers.requestTargetSync(syncPeer, shortDigests(m_list));
    }
}

VmId TargetListSynchronizer::preferredSyncPeer(std::size_t rank)
{
    if (schedule().hasList()) {
        return m_lastOrigin;
    }
    // The VMs of a zone ask their zone leader, which asks the reader, so that the reader need not answer hundreds.
    const TimePoint now = loop().now();
    VmId leader = context().roster.zoneLeader(now);
    if (leader != context().own || rank == 0) {
        return leader;
    }
    const std::vector<VmId> readers = context().roster.readersOf(sourceName(), now);
    return readers.empty() ? VmId() : readers.front();
}

VmId TargetListSynchronizer::randomSyncPeer()
{
    const std::vector<VmId> others = context().roster.readersOf(sourceName(), loop().now());
    return others.empty() ? VmId() : others[m_random.below(others.size())];
}

void TargetListSynchronizer::answerSyncRequest(const VmId &asker, const ShortDigests &digests)
{
    TargetSyncReply reply;
    reply.isKnown = schedule().hasList();
    reply.digest = m_list.digest();
    reply.readAt = schedule().confirmedAt();
    const ShortDigests own = shortDigests(m_list);
    for (std::size_t index = 0; reply.isKnown && index < own.size(); ++index) {
        if (own[index] != digests[index]) {
            reply.buckets.push_back({ index, m_list.bucket(index) });
        }
    }
    context().peers.sendTargetSyncReply(asker, reply);
}

void TargetListSynchronizer::takeSyncReply(const TargetSyncReply &reply)
{
    const TimePoint now = loop().now();
    if (!reply.isKnown) {
        m_syncRequests.noteEmptyAnswer(now);
        return;
    }
    if (!schedule().canSyncFrom(reply.digest, reply.readAt)) {
        m_syncRequests.noteEmptyAnswer(now);
        return;
    }
    m_syncRequests.noteProgress(now);
    const bool isFirst = !schedule().hasList();
    for (const TargetBucket &bucket : reply.buckets) {
        const TargetListChange change = m_list.replaceBucket(bucket.index, bucket.targets);
        // With an incomplete first list all requests would go to the few targets that are known.
        if (!isFirst && change.entryCount() > 0) {
            m_onChange(change);
        }
    }
    if (!isFirst) {
        schedule().setDigest(m_list.digest());
    }
    if (m_list.digest() != reply.digest) {
        return;
    }
    if (isFirst) {
        m_onChange({ 0, m_list.digest(), m_list.targets(), {} });
    }
    schedule().noteAdopted(reply.digest, reply.readAt);
    logEvent(EntryEvents::listTakenOver,
             { { "list", sourceName() },
               { "digest", reply.digest },
               { "first", isFirst },
               { "ageMilliseconds", millisecondsBetween(reply.readAt, now) } });
}

} // namespace Sapphire
