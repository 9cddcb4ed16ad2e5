#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/SourceRevision.h>

#include <cstddef>
#include <cstdint>

namespace Sapphire {

struct ReadScheduleSettings
{
    /// Time between the starts of two reads by the VM that reads for its region.
    Milliseconds readerInterval { 900 };
    /// If the list was not confirmed for this long, the second VM in the order of readers reads; each later VM waits
    /// one step longer.
    Milliseconds takeoverAfter { 1'400 };
    Milliseconds takeoverStep { 150 };
    /// Any VM reads, whatever its rank, if its list was not confirmed for this long.
    Milliseconds confirmationTimeout { 1'700 };
    /// A VM that learns that its list is incomplete reads by itself if it has not received the missing parts from other
    /// VMs within this time.
    Milliseconds peerSyncTimeout { 0 };
    /// Least time between two reads by a VM whose list is incomplete.
    Milliseconds shortestInterval { 1'000 };
    /// Delay after a failed read of a VM that reads for its region or that has no list yet.
    Milliseconds retryInterval { 500 };
    /// Delay after a failed read of a VM that reads because its list is not confirmed.
    Milliseconds unconfirmedRetryInterval { 3'400 };
};

/// Decides when a VM reads a list from the platform itself. Calls to the platform are expensive, so one VM of a region
/// reads and broadcasts the result to the others. The others read only if they hear nothing or miss a part: a failed
/// reader or a lost datagram causes more calls, but leaves no VM with an old list. The VMs of a region take over one
/// after the other, so that the loss of a reader doesn't make hundreds of VMs read at the same moment.
class ReadSchedule
{
public:
    explicit ReadSchedule(ReadScheduleSettings settings) : m_settings(settings)
    {
    }

    /// Returns whether to start a read now. `rank` is the number of VMs before this one in the order of readers.
    bool isDue(TimePoint now, std::size_t rank) const;
    /// Until the deadline, an incomplete VM waits for other VMs to send it the list, unless it is the first in the
    /// order.
    void waitForSync(Deadline until)
    {
        m_peerSyncDeadline = until;
    }
    /// A read was started.
    void noteBegun(TimePoint now, std::size_t rank);
    /// The read that was started has failed.
    void noteFailed();
    /// The read that was started has succeeded. The list had this digest, and was current at the given time.
    void noteRead(std::uint64_t digest, TimePoint readAt, SourceRevision revision = {});
    /// The read that was started has succeeded, but its list is outdated and was not taken.
    void noteOutdatedRead();
    /// Returns whether a list that was asked for then is older than this VM's list. An answer may be older than the
    /// time at which it was taken, so that only the times of the questions are compared.
    bool isOutdated(TimePoint readAt) const;
    /// Replaces two of the settings, since they depend on the size of the list and of the region.
    void setTimeouts(Milliseconds peerSyncTimeout, Milliseconds confirmationTimeout)
    {
        m_settings.peerSyncTimeout = peerSyncTimeout;
        m_settings.confirmationTimeout = confirmationTimeout;
    }
    /// A reader has reported, as this VM hears now, that the list had this digest when it was read.
    void noteReportedDigest(std::uint64_t digest, TimePoint readAt, TimePoint now, SourceRevision revision = {});
    /// Another VM has a list with this digest. Unlike a reader's report it doesn't confirm a list.
    void noteListOfOther(std::uint64_t digest, SourceRevision revision, TimePoint now);
    /// A VM that comes before this one in the order of readers has read the list, so this VM stops standing in for it.
    void notePreferredReader()
    {
        m_hasTakenOver = false;
    }
    /// This VM's list was updated from another VM's message and now has this digest.
    void setDigest(std::uint64_t digest)
    {
        m_digest = digest;
    }
    /// This VM has a whole list with this digest from another VM's message. Whether it is current follows from reports.
    void noteReceived(std::uint64_t digest, SourceRevision revision = {});
    /// This VM has adopted a whole list, which was confirmed at the given time.
    void noteAdopted(std::uint64_t digest, TimePoint confirmedAt);

    std::uint64_t digest() const
    {
        return m_digest;
    }
    /// Returns the newest revision at which the list is known to have been the platform's.
    SourceRevision revision() const
    {
        return m_revision;
    }
    /// Returns when this VM's list was last known to be current.
    TimePoint confirmedAt() const
    {
        return m_confirmedAt;
    }
    /// Returns whether another VM's list with this digest, confirmed at the given time, may have what this one misses.
    bool canSyncFrom(std::uint64_t digest, TimePoint confirmedAt) const;
    /// Returns whether this VM has a list, possibly an outdated one.
    bool hasList() const
    {
        return m_hasList;
    }
    /// Returns whether this VM has no list, or another VM has reported a newer one with another digest.
    bool isIncomplete() const
    {
        return m_isIncomplete;
    }
    /// Returns since when this VM, which has a list, has known that there is a newer one; `now` if it knows of none.
    TimePoint behindSince(TimePoint now) const
    {
        const bool isBehind = m_hasList && m_isIncomplete && m_incompleteSince != TimePoint {};
        return isBehind ? m_incompleteSince : now;
    }
    /// Returns the digest of the newest list that another VM has read.
    std::uint64_t wantedDigest() const
    {
        return m_wantedDigest;
    }
    /// Returns whether the last read failed.
    bool hasFailed() const
    {
        return m_hasFailed;
    }
    /// Returns whether this VM reads in place of the reader.
    bool hasTakenOver() const
    {
        return m_hasTakenOver;
    }

private:
    void noteMissing(std::uint64_t digest, TimePoint readAt, SourceRevision revision, TimePoint now);
    /// Returns whether the newest list that another VM has read is newer than one that was read then.
    bool isWantedNewer(std::uint64_t digest, TimePoint readAt, SourceRevision revision) const;
    bool isIncompleteReadDue(TimePoint now) const;
    bool isUnconfirmedReadDue(TimePoint now, std::size_t rank) const;

    ReadScheduleSettings m_settings;
    std::uint64_t m_digest { 0 };
    TimePoint m_begunAt {};
    TimePoint m_confirmedAt {};
    SourceRevision m_revision; ///< The newest one at which the list is known to have been the platform's.
    std::uint64_t m_wantedDigest { 0 }; ///< Of the newest list that another VM has read.
    TimePoint m_wantedAt {}; ///< When the other VM read it.
    SourceRevision m_wantedRevision;
    TimePoint m_wantedHeardAt {}; ///< When this VM heard of it.
    TimePoint m_incompleteSince {}; ///< When this VM heard of the first list that it lacks.
    Deadline m_peerSyncDeadline {}; ///< Until then an incomplete VM waits for other VMs.
    bool m_isReading { false };
    bool m_hasFailed { false }; ///< The last read failed.
    bool m_hasList { false };
    bool m_isIncomplete { true };
    bool m_hasTakenOver { false }; ///< This VM reads in place of the reader, since the list was not confirmed in time.
};

} // namespace Sapphire
