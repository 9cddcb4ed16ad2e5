#include <LibEntry/SharedSourceSynchronizer.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibEntry/EntryEvents.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

constexpr Milliseconds checkInterval { 50 };
// A VM whose read has failed leaves reading for its region to others for this long.
constexpr Milliseconds failedReadPause { 10'000 };
// Without the list of VMs a VM doesn't know which VM reads. If the list is missing for longer than this, it reads
// itself.
constexpr Milliseconds rosterTime { 500 };
// The first VMs in the order of readers broadcast what they have read; later ones read for themselves only.
constexpr std::size_t broadcastingReaders = 3;
// A VM that has been behind for longer than this says so in its log.
constexpr Milliseconds longestBehind { 1'000 };

} // namespace

SharedSourceSynchronizer::SharedSourceSynchronizer(const SynchronizerContext &context, SourceKind sourceKind,
                                                   ReadScheduleSettings settings)
    : m_context(context), m_kind(sourceKind), m_schedule(settings), m_timer(context.loop, [this] {
        check();
    })
{
}

std::string_view SharedSourceSynchronizer::sourceName() const
{
    return m_kind == SourceKind::Rules ? "rules" : "targets";
}

void SharedSourceSynchronizer::start(const SourcePollerSettings &settings)
{
    m_poller = std::make_unique<SourcePoller>(settings, m_context.loop.clock(), [this] {
        return step();
    });
    m_rosterDeadline = Deadline::after(m_context.loop.clock().now(), rosterTime);
    check();
}

void SharedSourceSynchronizer::stop()
{
    m_timer.stop();
    m_poller.reset();
    m_updatePoller.reset();
}

void SharedSourceSynchronizer::wake()
{
    if (!m_updatePoller) {
        // Its steps don't fail, so that no event is logged for them.
        const SourcePollerSettings settings { EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack };
        m_updatePoller = std::make_unique<SourcePoller>(settings, m_context.loop.clock(), [this] {
            postPendingUpdate();
            return Result<void>();
        });
    }
    m_updatePoller->runSoon();
}

void SharedSourceSynchronizer::postPendingUpdate()
{
    std::optional<Task> task = processPendingUpdate();
    if (task && !m_context.loop.post(std::move(*task))) {
        logEvent(EntryEvents::loopOverloaded, {});
    }
}

void SharedSourceSynchronizer::check()
{
    if (m_isReadEndUnreported.exchange(false)) {
        noteFailed();
    }
    const TimePoint now = m_context.loop.now();
    m_context.peers.setReadable(m_kind, m_unreadableUntil.hasPassed(now));
    const bool knowsRoster = m_context.roster.hasList();
    // A VM without a copy doesn't wait for another region, since it can't know which VMs are alive there.
    const bool isForAll = isReadForAll() && m_schedule.hasList();
    m_rank = knowsRoster ? m_context.roster.readerRank(sourceName(), isForAll, now) : 0;
    m_isReader = m_rank == 0 || m_schedule.hasTakenOver();
    if (knowsRoster) {
        requestSync(m_rank);
    }
    if ((knowsRoster || m_rosterDeadline.hasPassed(now)) && m_schedule.isDue(now, m_rank)) {
        m_schedule.noteBegun(now, m_rank);
        m_isReadDue = true;
        m_poller->runSoon();
    }
    reportBehind();
    m_timer.start(Deadline::after(now, checkInterval));
}

void SharedSourceSynchronizer::reportBehind()
{
    const Microseconds behind = behindFor();
    if (behind < longestBehind) {
        m_isBehindReported = false;
        return;
    }
    if (!std::exchange(m_isBehindReported, true)) {
        logEvent(EntryEvents::listBehind,
                 { { "list", sourceName() },
                   { "digest", m_schedule.digest() },
                   { "wantedDigest", m_schedule.wantedDigest() },
                   { "behindMilliseconds", std::chrono::duration_cast<Milliseconds>(behind).count() },
                   { "confirmedMillisecondsAgo", millisecondsBetween(m_schedule.confirmedAt(), m_context.loop.now()) },
                   { "readFailed", m_schedule.hasFailed() },
                   { "rank", m_rank } });
    }
}

Result<void> SharedSourceSynchronizer::step()
{
    if (m_isReadDue.exchange(false)) {
        m_lastRead = capture([this] {
            return readList();
        });
    }
    return m_lastRead ? Result<void>() : fail(m_lastRead.error());
}

Result<void> SharedSourceSynchronizer::readList()
{
    const bool isReader = m_isReader;
    Outcome<Task> task = capture([this, isReader] {
        return read(isReader);
    });
    const bool isPosted = m_context.loop.post(task ? std::move(task.value()) : Task([this] {
        noteFailed();
    }));
    if (!isPosted) {
        m_isReadEndUnreported = true;
        logEvent(EntryEvents::loopOverloaded, {});
        return fail(ErrorCode::ResourceExhausted, "the loop takes no more tasks");
    }
    return task ? Result<void>() : fail(task.error());
}

void SharedSourceSynchronizer::noteFailed()
{
    m_schedule.noteFailed();
    m_unreadableUntil = Deadline::after(m_context.loop.now(), failedReadPause);
    readFailed();
}

void SharedSourceSynchronizer::finishRead(const std::vector<SourceUpdate> &updates)
{
    m_unreadableUntil = {};
    const SourceUpdate &last = updates.back();
    const bool isNews = last.digest != m_schedule.digest();
    m_schedule.noteRead(last.digest, last.readAt, last.revision);
    if (isNews || !m_isReader) {
        logEvent(EntryEvents::listRead,
                 { { "list", sourceName() },
                   { "reader", m_isReader.load() },
                   { "digest", last.digest },
                   { "parts", updates.size() },
                   { "ageMilliseconds", millisecondsBetween(last.readAt, m_context.loop.now()) } });
    }
    for (const SourceUpdate &update : updates) {
        if (m_rank < broadcastingReaders) {
            broadcast(update);
        }
    }
    check();
}

void SharedSourceSynchronizer::finishOutdatedRead(TimePoint readAt)
{
    m_unreadableUntil = {};
    m_schedule.noteOutdatedRead();
    logEvent(EntryEvents::outdatedRead,
             { { "list", sourceName() }, { "ageMilliseconds", millisecondsBetween(readAt, m_context.loop.now()) } });
    check();
}

void SharedSourceSynchronizer::broadcast(const SourceUpdate &update)
{
    // All VMs hear of the update at once, so that one whose copy of the document is lost can ask for it.
    m_context.peers.broadcastUpdate(update);
    if (!update.document.empty()) {
        m_context.peers.broadcastDocument(update);
    }
    if (isReadForAll() && m_context.roster.isNearestToPlatform()) {
        m_context.peers.sendToRelays(update, sourceName());
    }
}

void SharedSourceSynchronizer::noteOrigin(const SourceUpdate &update)
{
    const VmRecord *const originVm = m_context.roster.find(update.origin);
    if (originVm == nullptr) {
        return;
    }
    const TimePoint now = m_context.loop.now();
    if (originVm->locality.region != m_context.roster.ownRegion()) {
        m_schedule.notePreferredReader();
        SourceUpdate forwardedUpdate = update;
        forwardedUpdate.isRelayed = true;
        m_context.peers.broadcastUpdate(forwardedUpdate);
        return;
    }
    if (update.isRelayed) {
        m_schedule.notePreferredReader();
        return;
    }
    const std::vector<VmId> readers = m_context.roster.readersOf(sourceName(), now);
    const auto first = std::find_if(readers.begin(), readers.end(), [&](const VmId &vm) {
        return vm == originVm->vm || vm == m_context.own;
    });
    if (first != readers.end() && *first == originVm->vm) {
        m_schedule.notePreferredReader();
    }
}

void SharedSourceSynchronizer::takeUpdate(const SourceUpdate &update)
{
    if (update.kind != m_kind) {
        return;
    }
    noteOrigin(update);
    // The times for which targets stay cold are no part of the digest, so that an update with the same digest may hold
    // new ones.
    const bool mayChangeColdTimes = update.change.entryCount() > 0 && update.change.base == m_schedule.digest();
    const bool isNews = update.digest != m_schedule.digest() || mayChangeColdTimes;
    if (isNews) {
        applyUpdate(update);
    } else {
        m_schedule.noteReportedDigest(update.digest, update.readAt, m_context.loop.now(), update.revision);
    }
}

void SharedSourceSynchronizer::finishUpdate(const SourceUpdate &update)
{
    logEvent(EntryEvents::listTold,
             { { "list", sourceName() },
               { "digest", update.digest },
               { "applied", update.digest == m_schedule.digest() },
               { "changed", update.change.changed.size() },
               { "removed", update.change.removed.size() },
               { "documentBytes", update.document.size() },
               { "ageMilliseconds", millisecondsBetween(update.readAt, m_context.loop.now()) } });
    m_schedule.noteReportedDigest(update.digest, update.readAt, m_context.loop.now(), update.revision);
}

} // namespace Sapphire
