#include <LibEntry/TargetListDuty.h>

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
constexpr Milliseconds helpTimePerCall { 250 };
constexpr Milliseconds firstCallTime { 4'000 };
// A datagram of many packets is lost with each of them.
constexpr std::size_t mostEntriesPerDatagram = 24;
// A change that was lost is asked for at another VM before the whole list is read.
constexpr Milliseconds helpTime { 300 };
// In a large region, whose VMs would fill their link to the platform if all of them read thousands of targets, the
// first few in the order of readers get the time for a reading of their own before the others read, too.
constexpr Milliseconds longHelpTime { 1'500 };
constexpr Milliseconds longUnconfirmed { 3'200 };
// Parts of a reading are told within this time, by whose age they are dated.
constexpr Milliseconds partTime { 100 };
// In a region of so many VMs a starting one takes the list from another VM. It reads the list itself if that takes
// longer than this, at a random time within the spread.
constexpr std::size_t largeRegion = 16;
constexpr Milliseconds longestStart { 2'000 };
constexpr Milliseconds startSpread { 1'000 };

SharedReadingSettings readingSettings()
{
    SharedReadingSettings settings;
    settings.helpTime = helpTime;
    return settings;
}

} // namespace

TargetListDuty::TargetListDuty(const SharedSourceParts &parts, const TargetListDutySettings &settings,
                               TargetListSource &source, std::function<void(const TargetListChange &)> onChange)
    : SharedSourceDuty(parts, SourceKind::Targets, readingSettings())
    , m_settings(settings)
    , m_source(source)
    , m_onChange(std::move(onChange))
    , m_readingTime(firstCallTime)
{
}

Result<SharedSourceDuty::Task> TargetListDuty::read(bool)
{
    const Clock &clock = loop().clock();
    const TimePoint begunAt = clock.now();
    BOOST_LEAF_AUTO(targets, m_source.read(Deadline::after(begunAt, m_readingTime.load())));
    return Task([this, targets = std::move(targets), begunAt] {
        takeList(targets, begunAt);
    });
}

void TargetListDuty::takeList(const std::vector<KnownTarget> &targets, TimePoint begunAt)
{
    m_grace.noteSuccess(loop().now());
    std::vector<TargetListChange> parts = m_list.applyWhole(targets, m_grace, loop().now(), mostEntriesPerDatagram);
    std::vector<SourceUpdate> readings;
    for (TargetListChange &part : parts) {
        m_onChange(part);
        readings.push_back({ SourceKind::Targets, part.digest, begunAt, std::move(part), {} });
    }
    if (!state().hasList()) {
        // What the first reading finds is news to this VM alone.
        readings = { { SourceKind::Targets, m_list.digest(), begunAt, {}, {} } };
    }
    finishRead(readings);
}

void TargetListDuty::applyReading(const SourceUpdate &reading)
{
    if (m_list.applyChange(reading.change)) {
        state().setDigest(m_list.digest());
        m_onChange(reading.change);
    } else {
        m_lastTeller = reading.origin;
        mergeReading(reading);
    }
    finishTold(reading);
}

void TargetListDuty::mergeReading(const SourceUpdate &reading)
{
    const bool isOlder = reading.readAt <= state().confirmedAt() || reading.readAt + partTime < m_takenReadAt;
    if (!state().hasList() || isOlder || reading.change.entryCount() == 0) {
        return;
    }
    m_takenReadAt = std::max(m_takenReadAt, reading.readAt);
    m_list.merge(reading.change);
    state().setDigest(m_list.digest());
    m_onChange(reading.change);
}

void TargetListDuty::adjustTimes()
{
    const auto calls = static_cast<std::int64_t>(m_list.size() / targetsPerCall);
    const bool isLarge = parts().roster.isRegionLarge();
    if (state().hasList()) {
        m_readingTime = callTime + timePerCall * calls;
    }
    state().setPatience((isLarge ? longHelpTime : helpTime) + helpTimePerCall * calls,
                        isLarge ? longUnconfirmed : SharedReadingSettings {}.longestUnconfirmed);
}

void TargetListDuty::readFailed()
{
    m_grace.noteFailure();
}

void TargetListDuty::seekHelp(std::size_t rank)
{
    const TimePoint now = loop().now();
    adjustTimes();
    if (!std::exchange(m_hasPlannedStart, true)) {
        const bool isLarge = parts().roster.readersOf("", now).size() > largeRegion;
        if (isLarge || m_settings.isFirstStart) {
            state().waitForHelp(Deadline::after(now, longestStart + scaled(startSpread, m_random.unit())));
        }
    }
    const bool isReading = !state().hasList() && rank == 0;
    if (!state().lacksSomething() || isReading) {
        m_help.reset();
        return;
    }
    const HelpSeeking::Choice choice = m_help.next(now);
    if (choice == HelpSeeking::Choice::Nobody) {
        return;
    }
    const VmId helper = choice == HelpSeeking::Choice::Usual ? usualHelper(rank) : otherHelper();
    if (!helper.isEmpty() && helper != parts().own) {
        parts().peers.requestTargetSync(helper, shortDigests(m_list));
    }
}

VmId TargetListDuty::usualHelper(std::size_t rank)
{
    if (state().hasList()) {
        return m_lastTeller;
    }
    // The VMs of a zone ask one of them, which asks the reader, so that the reader need not answer hundreds.
    const TimePoint now = loop().now();
    VmId head = parts().roster.headOfZone(now);
    if (head != parts().own || rank == 0) {
        return head;
    }
    const std::vector<VmId> readers = parts().roster.readersOf(subjectName(), now);
    return readers.empty() ? VmId() : readers.front();
}

VmId TargetListDuty::otherHelper()
{
    const std::vector<VmId> others = parts().roster.readersOf(subjectName(), loop().now());
    return others.empty() ? VmId() : others[m_random.below(others.size())];
}

void TargetListDuty::answer(const VmId &asker, const ShortDigests &digests)
{
    TargetSyncReply statement;
    statement.isKnown = state().hasList();
    statement.digest = m_list.digest();
    statement.readAt = state().confirmedAt();
    const ShortDigests own = shortDigests(m_list);
    for (std::size_t index = 0; statement.isKnown && index < own.size(); ++index) {
        if (own[index] != digests[index]) {
            statement.buckets.push_back({ index, m_list.bucket(index) });
        }
    }
    parts().peers.sendTargetSyncReply(asker, statement);
}

void TargetListDuty::takeStatement(const TargetSyncReply &statement)
{
    const TimePoint now = loop().now();
    if (!statement.isKnown) {
        m_help.noteUnhelpful(now);
        return;
    }
    if (!state().isHelpful(statement.digest, statement.readAt)) {
        m_help.noteUnhelpful(now);
        return;
    }
    m_help.noteProgress(now);
    const bool isFirst = !state().hasList();
    for (const TargetBucket &bucket : statement.buckets) {
        const TargetListChange change = m_list.replaceBucket(bucket.index, bucket.targets);
        // An incomplete list would send all requests to the few targets that are known.
        if (!isFirst && change.entryCount() > 0) {
            m_onChange(change);
        }
    }
    if (!isFirst) {
        state().setDigest(m_list.digest());
    }
    if (m_list.digest() != statement.digest) {
        return;
    }
    if (isFirst) {
        m_onChange({ 0, m_list.digest(), m_list.targets(), {} });
    }
    state().noteAdopted(statement.digest, statement.readAt);
    logEvent(EntryEvents::listTakenOver,
             { { "list", subjectName() },
               { "digest", statement.digest },
               { "first", isFirst },
               { "ageMilliseconds", millisecondsBetween(statement.readAt, now) } });
}

} // namespace Sapphire
