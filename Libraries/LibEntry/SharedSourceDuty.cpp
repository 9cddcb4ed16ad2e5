#include <LibEntry/SharedSourceDuty.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibEntry/EntryEvents.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr Milliseconds checkInterval { 50 };
// A VM whose reading failed leaves reading for its region to others for this long.
constexpr Milliseconds lostTime { 10'000 };
// Without the list of VMs a VM doesn't know who reads. If it can't be read for so long, each VM reads.
constexpr Milliseconds rosterTime { 500 };
// The first VMs in the order of readers tell what they have read; later ones read for themselves alone.
constexpr std::size_t tellingReaders = 3;

} // namespace

SharedSourceDuty::SharedSourceDuty(const SharedSourceParts &parts, SourceKind kind, SharedReadingSettings settings)
    : m_parts(parts), m_subject(kind), m_state(settings), m_timer(parts.loop, [this] {
        check();
    })
{
}

std::string_view SharedSourceDuty::subjectName() const
{
    return m_subject == SourceKind::Rules ? "rules" : "targets";
}

void SharedSourceDuty::start(const SourceWatchSettings &settings)
{
    m_watch = std::make_unique<SourceWatch>(settings, m_parts.loop.clock(), [this] {
        return step();
    });
    m_rosterUntil = Deadline::after(m_parts.loop.clock().now(), rosterTime);
    check();
}

void SharedSourceDuty::stop()
{
    m_timer.stop();
    m_watch.reset();
}

void SharedSourceDuty::check()
{
    if (m_isEndLost.exchange(false)) {
        noteFailed();
    }
    const TimePoint now = m_parts.loop.now();
    m_parts.peers.setReadable(m_subject, m_lostUntil.hasPassed(now));
    const bool knowsRoster = m_parts.roster.hasList();
    // A VM without a list doesn't wait for another region: who lives there is not known.
    const bool isForAll = isReadForAll() && m_state.hasList();
    m_rank = knowsRoster ? m_parts.roster.readerRank(subjectName(), isForAll, now) : 0;
    m_isReader = m_rank == 0;
    if (knowsRoster) {
        seekHelp(m_rank);
    }
    if ((knowsRoster || m_rosterUntil.hasPassed(now)) && m_state.isDue(now, m_rank)) {
        m_state.noteBegun(now, m_rank);
        m_isReadDue = true;
        m_watch->runSoon();
    }
    m_timer.start(Deadline::after(now, checkInterval));
}

Result<void> SharedSourceDuty::step()
{
    if (std::optional<Task> task = takeTold()) {
        if (!m_parts.loop.post(std::move(*task))) {
            logEvent(EntryEvents::loopOverloaded, {});
        }
    }
    // A reading that has begun is made also if news of another VM arrived meanwhile: no other one begins before it
    // ends.
    if (m_isReadDue.exchange(false)) {
        m_lastRead = capture([this] {
            return readList();
        });
    }
    return m_lastRead ? Result<void>() : fail(m_lastRead.error());
}

Result<void> SharedSourceDuty::readList()
{
    const bool isReader = m_isReader;
    Outcome<Task> task = capture([this, isReader] {
        return read(isReader);
    });
    const bool isTold = m_parts.loop.post(task ? std::move(task.value()) : Task([this] {
        noteFailed();
    }));
    if (!isTold) {
        m_isEndLost = true;
        logEvent(EntryEvents::loopOverloaded, {});
        return fail(ErrorCode::ResourceExhausted, "the loop takes no more tasks");
    }
    return task ? Result<void>() : fail(task.error());
}

void SharedSourceDuty::noteFailed()
{
    m_state.noteFailed();
    m_lostUntil = Deadline::after(m_parts.loop.now(), lostTime);
    readFailed();
}

void SharedSourceDuty::finishRead(const std::vector<SourceUpdate> &readings)
{
    m_lostUntil = {};
    const SourceUpdate &last = readings.back();
    const bool isNews = last.digest != m_state.digest();
    m_state.noteRead(last.digest, last.readAt);
    if (isNews || !m_isReader) {
        logEvent(EntryEvents::listRead,
                 { { "list", subjectName() },
                   { "reader", m_isReader.load() },
                   { "digest", last.digest },
                   { "parts", readings.size() },
                   { "ageMilliseconds", millisecondsBetween(last.readAt, m_parts.loop.now()) } });
    }
    for (const SourceUpdate &reading : readings) {
        if (m_rank < tellingReaders) {
            tell(reading);
        }
    }
    check();
}

void SharedSourceDuty::tell(const SourceUpdate &reading)
{
    m_parts.peers.broadcastUpdate(reading);
    if (isReadForAll() && m_parts.roster.isNearestToPlatform()) {
        m_parts.peers.sendToRelays(reading, subjectName());
    }
}

void SharedSourceDuty::noteTeller(const SourceUpdate &reading)
{
    const VmRecord *const teller = m_parts.roster.find(reading.origin);
    if (teller == nullptr) {
        return;
    }
    const TimePoint now = m_parts.loop.now();
    if (teller->place.region != m_parts.roster.ownRegion()) {
        m_state.noteBetterReader();
        SourceUpdate relayed = reading;
        relayed.isRelayed = true;
        m_parts.peers.broadcastUpdate(relayed);
        return;
    }
    if (reading.isRelayed) {
        m_state.noteBetterReader();
        return;
    }
    const std::vector<VmId> readers = m_parts.roster.readersOf(subjectName(), now);
    const auto first = std::find_if(readers.begin(), readers.end(), [&](const VmId &vm) {
        return vm == teller->vm || vm == m_parts.own;
    });
    if (first != readers.end() && *first == teller->vm) {
        m_state.noteBetterReader();
    }
}

void SharedSourceDuty::takeReading(const SourceUpdate &reading)
{
    if (reading.kind != m_subject) {
        return;
    }
    noteTeller(reading);
    // How long targets stay cold is news and no part of the digest.
    const bool isCold = reading.change.entryCount() > 0 && reading.change.base == m_state.digest();
    const bool isNews = reading.digest != m_state.digest() || isCold;
    if (isNews) {
        applyReading(reading);
    } else {
        m_state.noteStatement(reading.digest, reading.readAt, m_parts.loop.now());
    }
}

void SharedSourceDuty::finishTold(const SourceUpdate &reading)
{
    logEvent(EntryEvents::listTold,
             { { "list", subjectName() },
               { "digest", reading.digest },
               { "applied", reading.digest == m_state.digest() },
               { "changed", reading.change.changed.size() },
               { "removed", reading.change.removed.size() },
               { "documentBytes", reading.document.size() },
               { "ageMilliseconds", millisecondsBetween(reading.readAt, m_parts.loop.now()) } });
    m_state.noteStatement(reading.digest, reading.readAt, m_parts.loop.now());
}

} // namespace Sapphire
