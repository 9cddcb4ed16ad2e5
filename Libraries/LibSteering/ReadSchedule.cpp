#include <LibSteering/ReadSchedule.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Timestamps lose some milliseconds on their way from VM to VM.
constexpr Milliseconds timestampTolerance { 100 };

} // namespace

bool ReadSchedule::isDue(TimePoint now, std::size_t rank) const
{
    if (m_isReading) {
        return false;
    }
    const Microseconds sinceBegin = now - m_begunAt;
    const Milliseconds retry = m_hasFailed ? m_settings.retryInterval : Milliseconds(0);
    const bool isReader = rank == 0 || m_hasTakenOver;
    const bool isReaderDue = isReader && sinceBegin >= std::max(m_settings.readerInterval, retry);
    return isReaderDue || isIncompleteReadDue(now) || isUnconfirmedReadDue(now, rank);
}

bool ReadSchedule::isUnconfirmedReadDue(TimePoint now, std::size_t rank) const
{
    const auto steps = static_cast<std::int64_t>(std::max<std::size_t>(rank, 1) - 1);
    const Milliseconds longest =
        std::min(m_settings.confirmationTimeout, m_settings.takeoverAfter + m_settings.takeoverStep * steps);
    const Milliseconds interval = m_hasFailed ? m_settings.unconfirmedRetryInterval : longest;
    // The reader is alive, and the missing parts have been requested from other VMs.
    const bool isSyncPending = m_isIncomplete && !m_peerSyncDeadline.hasPassed(now);
    return m_hasList && !isSyncPending && now - m_confirmedAt >= longest && now - m_begunAt >= interval;
}

bool ReadSchedule::isIncompleteReadDue(TimePoint now) const
{
    const Milliseconds retry = m_hasFailed ? m_settings.retryInterval : Milliseconds(0);
    const Milliseconds interval = m_hasList ? m_settings.shortestInterval : retry;
    return m_isIncomplete && m_peerSyncDeadline.hasPassed(now) && now - m_begunAt >= interval;
}

void ReadSchedule::noteBegun(TimePoint now, std::size_t rank)
{
    m_hasTakenOver = m_hasTakenOver || isUnconfirmedReadDue(now, rank);
    m_isReading = true;
    m_begunAt = now;
}

void ReadSchedule::noteFailed()
{
    m_isReading = false;
    m_hasFailed = true;
    m_hasTakenOver = false;
}

bool ReadSchedule::canSyncFrom(std::uint64_t digest, TimePoint confirmedAt) const
{
    const bool isRecent = confirmedAt >= m_confirmedAt && confirmedAt + timestampTolerance >= m_wantedAt;
    return m_isIncomplete && (digest == m_wantedDigest || isRecent);
}

void ReadSchedule::noteRead(std::uint64_t digest, TimePoint readAt, SourceRevision revision)
{
    m_isReading = false;
    m_hasFailed = false;
    // An answer that this VM took late may be older than a list of which it has heard since the read began.
    const bool isOutdated =
        m_isIncomplete && revision.isKnown() && m_wantedHeardAt > m_begunAt && isWantedNewer(digest, readAt, revision);
    noteAdopted(digest, readAt);
    m_revision = std::max(m_revision, revision);
    m_isIncomplete = isOutdated;
}

void ReadSchedule::noteOutdatedRead()
{
    m_isReading = false;
    m_hasFailed = false;
}

bool ReadSchedule::isOutdated(TimePoint readAt) const
{
    return m_hasList && readAt + timestampTolerance < m_confirmedAt;
}

void ReadSchedule::noteAdopted(std::uint64_t digest, TimePoint confirmedAt)
{
    m_digest = digest;
    m_hasList = true;
    m_isIncomplete = false;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void ReadSchedule::noteReceived(std::uint64_t digest, SourceRevision revision)
{
    m_digest = digest;
    m_hasList = true;
    m_revision = std::max(m_revision, revision);
}

bool ReadSchedule::isWantedNewer(std::uint64_t digest, TimePoint readAt, SourceRevision revision) const
{
    if (revision.isComparableWith(m_wantedRevision)) {
        return digest != m_wantedDigest && revision < m_wantedRevision;
    }
    return readAt + timestampTolerance < m_wantedAt;
}

void ReadSchedule::noteReportedDigest(std::uint64_t digest, TimePoint readAt, TimePoint now, SourceRevision revision)
{
    if (digest == m_digest) {
        m_confirmedAt = std::max(m_confirmedAt, readAt);
        m_revision = std::max(m_revision, revision);
        // A report of an earlier read, which arrives late, says nothing about the newer list that this VM lacks.
        m_isIncomplete = m_isIncomplete && isWantedNewer(digest, readAt, revision);
        return;
    }
    if (revision.isComparableWith(m_revision) ? revision > m_revision : readAt > m_confirmedAt) {
        noteMissing(digest, readAt, revision, now);
    }
}

void ReadSchedule::noteListOfOther(std::uint64_t digest, SourceRevision revision, TimePoint now)
{
    if (digest != m_digest && revision.isComparableWith(m_revision) && revision > m_revision) {
        noteMissing(digest, now, revision, now);
    }
}

void ReadSchedule::noteMissing(std::uint64_t digest, TimePoint readAt, SourceRevision revision, TimePoint now)
{
    if (!m_isIncomplete) {
        m_peerSyncDeadline = Deadline::after(now, m_settings.peerSyncTimeout);
    }
    if (!m_isIncomplete || m_incompleteSince == TimePoint {}) {
        m_incompleteSince = now;
    }
    const bool isNewest =
        revision.isComparableWith(m_wantedRevision) ? revision >= m_wantedRevision : readAt >= m_wantedAt;
    if (!m_isIncomplete || isNewest) {
        m_wantedAt = readAt;
        m_wantedDigest = digest;
        m_wantedRevision = revision;
        m_wantedHeardAt = now;
    }
    m_isIncomplete = true;
}

} // namespace Sapphire
