#include <LibSteering/ReadSchedule.h>

#include <algorithm>

namespace Sapphire {

bool ReadSchedule::isDue(TimePoint now, std::size_t rank) const
{
    if (m_isReading) {
        return false;
    }
    const Microseconds sinceBegin = now - m_begunAt;
    const Milliseconds retry = m_hasFailed ? m_settings.retryInterval : Milliseconds(0);
    const bool isReader = rank == 0 || m_isActing;
    const bool isReaderDue = isReader && sinceBegin >= std::max(m_settings.readerInterval, retry);
    return isReaderDue || isLackingDue(now) || isUnconfirmed(now, rank);
}

bool ReadSchedule::isUnconfirmed(TimePoint now, std::size_t rank) const
{
    const auto steps = static_cast<std::int64_t>(std::max<std::size_t>(rank, 1) - 1);
    const Milliseconds longest =
        std::min(m_settings.confirmationTimeout, m_settings.takeoverAfter + m_settings.takeoverStep * steps);
    const Milliseconds interval = m_hasFailed ? m_settings.unconfirmedRetryInterval : longest;
    // The reader has spoken, and what this VM lacks is on its way.
    const bool isHelped = m_lacksSomething && !m_helpUntil.hasPassed(now);
    return m_hasList && !isHelped && now - m_confirmedAt >= longest && now - m_begunAt >= interval;
}

bool ReadSchedule::isLackingDue(TimePoint now) const
{
    const Milliseconds retry = m_hasFailed ? m_settings.retryInterval : Milliseconds(0);
    const Milliseconds interval = m_hasList ? m_settings.shortestInterval : retry;
    return m_lacksSomething && m_helpUntil.hasPassed(now) && now - m_begunAt >= interval;
}

void ReadSchedule::noteBegun(TimePoint now, std::size_t rank)
{
    m_isActing = m_isActing || isUnconfirmed(now, rank);
    m_isReading = true;
    m_begunAt = now;
}

void ReadSchedule::noteFailed()
{
    m_isReading = false;
    m_hasFailed = true;
    m_isActing = false;
}

bool ReadSchedule::canSyncFrom(std::uint64_t digest, TimePoint confirmedAt) const
{
    // Times lose some milliseconds on their way from VM to VM.
    constexpr Milliseconds tolerance { 100 };
    const bool isRecent = confirmedAt >= m_confirmedAt && confirmedAt + tolerance >= m_wantedAt;
    return m_lacksSomething && (digest == m_wantedDigest || isRecent);
}

void ReadSchedule::noteRead(std::uint64_t digest, TimePoint begunAt)
{
    m_isReading = false;
    m_hasFailed = false;
    noteAdopted(digest, begunAt);
}

void ReadSchedule::noteAdopted(std::uint64_t digest, TimePoint confirmedAt)
{
    m_digest = digest;
    m_hasList = true;
    m_lacksSomething = false;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void ReadSchedule::noteReportedDigest(std::uint64_t digest, TimePoint readAt, TimePoint now)
{
    if (digest == m_digest) {
        m_confirmedAt = std::max(m_confirmedAt, readAt);
        m_lacksSomething = false;
    } else if (readAt > m_confirmedAt) {
        if (!m_lacksSomething) {
            m_helpUntil = Deadline::after(now, m_settings.peerSyncTimeout);
        }
        m_lacksSomething = true;
        if (readAt >= m_wantedAt) {
            m_wantedAt = readAt;
            m_wantedDigest = digest;
        }
    }
}

} // namespace Sapphire
