#include <LibEntry/TargetListSynchronizer.h>

#include <LibCore/Duration.h>
#include <LibEntry/EntryEvents.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

constexpr Milliseconds callTime { 1'500 };
// A long list takes several calls, one after the other, and the VMs that were told to ask take turns at the one that
// helps them.
constexpr std::size_t targetsPerCall = 500;
constexpr Milliseconds timePerCall { 500 };
constexpr Milliseconds syncTimePerCall { 250 };
constexpr Milliseconds firstCallTime { 4'000 };
// A datagram of many packets is lost with each of them.
constexpr std::size_t mostEntriesPerDatagram = 24;
// A change that was lost is asked for at another VM before the whole list is read.
constexpr Milliseconds helpTime { 300 };
// In a large region, whose VMs would fill their link to the platform if all of them read thousands of targets, the
// first few in the order of readers get the time for a reading of their own before the others read, too.
constexpr Milliseconds largeRegionSyncTime { 1'500 };
constexpr Milliseconds largeRegionLongestUnconfirmed { 3'200 };
// Parts of a reading are told within this time, by whose age they are dated.
constexpr Milliseconds partTime { 100 };
// In a region of so many VMs a starting one takes the list from another VM. It reads the list itself if that takes
// longer than this, at a random time within the spread.
constexpr std::size_t largeRegion = 16;
constexpr Milliseconds longestStart { 2'000 };
constexpr Milliseconds startSpread { 1'000 };

SharedReadingSettings scheduleSettings()
{
    SharedReadingSettings settings;
    settings.helpTime = helpTime;
    return settings;
}

} // namespace

TargetListSynchronizer::TargetListSynchronizer(const SynchronizerContext &parts,
                                               const TargetListSynchronizerSettings &settings, TargetListSource &source,
                                               std::function<void(const TargetListChange &)> onChange)
    : SharedSourceSynchronizer(parts, ReadingSubject::Targets, scheduleSettings())
    , m_settings(settings)
    , m_source(source)
    , m_onChange(std::move(onChange))
    , m_readTimeout(firstCallTime)
{
}

Result<SharedSourceSynchronizer::Task> TargetListSynchronizer::read(bool)
{
    const Clock &clock = loop().clock();
    const TimePoint begunAt = clock.now();
    BOOST_LEAF_AUTO(targets, m_source.read(Deadline::after(begunAt, m_readTimeout.load())));
    return Task([this, targets = std::move(targets), begunAt] {
        takeList(targets, begunAt);
    });
}

void TargetListSynchronizer::takeList(const std::vector<KnownTarget> &targets, TimePoint begunAt)
{
    m_grace.noteSuccess(loop().now());
    std::vector<TargetListChange> parts = m_list.applyWhole(targets, m_grace, loop().now(), mostEntriesPerDatagram);
    std::vector<Reading> readings;
    for (TargetListChange &part : parts) {
        m_onChange(part);
        readings.push_back({ ReadingSubject::Targets, part.digest, begunAt, std::move(part), {} });
    }
    if (!state().hasList()) {
        // What the first reading finds is news to this VM alone.
        readings = { { ReadingSubject::Targets, m_list.digest(), begunAt, {}, {} } };
    }
    finishRead(readings);
}

void TargetListSynchronizer::applyUpdate(const Reading &update)
{
    if (m_list.applyChange(update.change)) {
        state().setDigest(m_list.digest());
        m_onChange(update.change);
    } else {
        m_lastOrigin = update.toldBy;
        mergeUpdate(update);
    }
    finishUpdate(update);
}

void TargetListSynchronizer::mergeUpdate(const Reading &update)
{
    const bool isOlder = update.readAt <= state().confirmedAt() || update.readAt + partTime < m_mergedReadAt;
    if (!state().hasList() || isOlder || update.change.entryCount() == 0) {
        return;
    }
    m_mergedReadAt = std::max(m_mergedReadAt, update.readAt);
    m_list.merge(update.change);
    state().setDigest(m_list.digest());
    m_onChange(update.change);
}

void TargetListSynchronizer::adjustTimeouts()
{
    const auto calls = static_cast<std::int64_t>(m_list.size() / targetsPerCall);
    const bool isLarge = parts().roster.isRegionLarge();
    if (state().hasList()) {
        m_readTimeout = callTime + timePerCall * calls;
    }
    state().setPatience((isLarge ? largeRegionSyncTime : helpTime) + syncTimePerCall * calls,
                        isLarge ? largeRegionLongestUnconfirmed : SharedReadingSettings {}.longestUnconfirmed);
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
        const bool isLarge = parts().roster.readersOf("", now).size() > largeRegion;
        if (isLarge || m_settings.isFirstStart) {
            state().waitForHelp(Deadline::after(now, longestStart + scaled(startSpread, m_random.unit())));
        }
    }
    const bool isReading = !state().hasList() && rank == 0;
    if (!state().lacksSomething() || isReading) {
        m_syncRequests.reset();
        return;
    }
    const HelpSeeking::Choice choice = m_syncRequests.next(now);
    if (choice == HelpSeeking::Choice::Nobody) {
        return;
    }
    const VmId syncPeer = choice == HelpSeeking::Choice::Usual ? preferredSyncPeer(rank) : randomSyncPeer();
    if (!syncPeer.isEmpty() && syncPeer != parts().own) {
        parts().peers.askForTargets(syncPeer, shortDigests(m_list));
    }
}

VmId TargetListSynchronizer::preferredSyncPeer(std::size_t rank)
{
    if (state().hasList()) {
        return m_lastOrigin;
    }
    // The VMs of a zone ask one of them, which asks the reader, so that the reader need not answer hundreds.
    const TimePoint now = loop().now();
    VmId head = parts().roster.headOfZone(now);
    if (head != parts().own || rank == 0) {
        return head;
    }
    const std::vector<VmId> readers = parts().roster.readersOf(sourceName(), now);
    return readers.empty() ? VmId() : readers.front();
}

VmId TargetListSynchronizer::randomSyncPeer()
{
    const std::vector<VmId> others = parts().roster.readersOf(sourceName(), loop().now());
    return others.empty() ? VmId() : others[m_random.below(others.size())];
}

void TargetListSynchronizer::answer(const VmId &asker, const ShortDigests &digests)
{
    TargetStatement reply;
    reply.isKnown = state().hasList();
    reply.digest = m_list.digest();
    reply.readAt = state().confirmedAt();
    const ShortDigests own = shortDigests(m_list);
    for (std::size_t index = 0; reply.isKnown && index < own.size(); ++index) {
        if (own[index] != digests[index]) {
            reply.buckets.push_back({ index, m_list.bucket(index) });
        }
    }
    parts().peers.sendTargets(asker, reply);
}

void TargetListSynchronizer::takeSyncReply(const TargetStatement &reply)
{
    const TimePoint now = loop().now();
    if (!reply.isKnown) {
        m_syncRequests.noteUnhelpful(now);
        return;
    }
    if (!state().isHelpful(reply.digest, reply.readAt)) {
        m_syncRequests.noteUnhelpful(now);
        return;
    }
    m_syncRequests.noteProgress(now);
    const bool isFirst = !state().hasList();
    for (const TargetBucket &bucket : reply.buckets) {
        const TargetListChange change = m_list.replaceBucket(bucket.index, bucket.targets);
        // An incomplete list would send all requests to the few targets that are known.
        if (!isFirst && change.entryCount() > 0) {
            m_onChange(change);
        }
    }
    if (!isFirst) {
        state().setDigest(m_list.digest());
    }
    if (m_list.digest() != reply.digest) {
        return;
    }
    if (isFirst) {
        m_onChange({ 0, m_list.digest(), m_list.targets(), {} });
    }
    state().noteAdopted(reply.digest, reply.readAt);
    logEvent(EntryEvents::listTakenOver,
             { { "list", sourceName() },
               { "digest", reply.digest },
               { "first", isFirst },
               { "ageMilliseconds", millisecondsBetween(reply.readAt, now) } });
}

} // namespace Sapphire
