#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <cstdint>

namespace Sapphire {

struct ReadScheduleSettings
{
    /// A VM that reads for its region begins a reading this long after the last one began.
    Milliseconds readerInterval { 900 };
    /// The next VM in the order of readers reads if nothing was confirmed for this long, each later one after a step
    /// more.
    Milliseconds takeoverAfter { 1'400 };
    Milliseconds takeoverStep { 150 };
    /// Any VM reads for itself if what it knows has not been confirmed for this long.
    Milliseconds confirmationTimeout { 1'700 };
    /// A VM that hears that it lacks something reads for itself if other VMs have not helped within this time.
    Milliseconds peerSyncTimeout { 0 };
    /// Such a VM does not read more often than this.
    Milliseconds shortestInterval { 1'000 };
    /// After a reading that failed, of a VM that reads for its region or has read nothing yet.
    Milliseconds retryInterval { 500 };
    /// After a reading that failed, of a VM that reads because it hears nothing.
    Milliseconds unconfirmedRetryInterval { 3'400 };
};

/// Decides when a VM reads a list of the platform itself. Each call to the platform has its price, so that one VM of a
/// region reads and tells the others what it found. The others read only if they hear nothing or lack something: a
/// reader that fails, or a lost datagram, costs calls and no knowledge. The VMs of a region take over one after the
/// other, so that the loss of a reader doesn't make hundreds of VMs read at the same moment.
class ReadSchedule
{
public:
    explicit ReadSchedule(ReadScheduleSettings settings) : m_settings(settings)
    {
    }

    /// Whether to begin a reading now. `rank` is the number of VMs that come before this one in the order of readers.
    bool isDue(TimePoint now, std::size_t rank) const;
    /// Leaves the first reading to others until then, unless this VM is the first in the order.
    void waitForSync(Deadline until)
    {
        m_helpUntil = until;
    }
    void noteBegun(TimePoint now, std::size_t rank);
    void noteFailed();
    /// A reading that began at the given time has ended, and the list had this digest.
    void noteRead(std::uint64_t digest, TimePoint begunAt);
    /// Sets for how long other VMs may help before a VM that lacks something reads for itself, and after how long any
    /// VM does so that has had nothing confirmed.
    void setTimeouts(Milliseconds peerSyncTimeout, Milliseconds confirmationTimeout)
    {
        m_settings.peerSyncTimeout = peerSyncTimeout;
        m_settings.confirmationTimeout = confirmationTimeout;
    }
    /// A reader says that the list had a digest at the given time, now.
    void noteReportedDigest(std::uint64_t digest, TimePoint readAt, TimePoint now);
    /// A VM that comes before this one in the order of readers has read.
    void notePreferredReader()
    {
        m_isActing = false;
    }
    /// What this VM knows was brought up to date from a statement.
    void setDigest(std::uint64_t digest)
    {
        m_digest = digest;
    }
    /// This VM has taken over the whole list, which was confirmed at the given time, from another one.
    void noteAdopted(std::uint64_t digest, TimePoint confirmedAt);

    std::uint64_t digest() const
    {
        return m_digest;
    }
    /// When what this VM knows was known to be right the last time.
    TimePoint confirmedAt() const
    {
        return m_confirmedAt;
    }
    /// Whether another VM's list with this digest, confirmed at the given time, may hold what this one lacks.
    bool canSyncFrom(std::uint64_t digest, TimePoint confirmedAt) const;
    /// Whether this VM has the list, be it an old one.
    bool hasList() const
    {
        return m_hasList;
    }
    bool isIncomplete() const
    {
        return m_lacksSomething;
    }

private:
    bool isLackingDue(TimePoint now) const;
    bool isUnconfirmed(TimePoint now, std::size_t rank) const;

    ReadScheduleSettings m_settings;
    std::uint64_t m_digest { 0 };
    TimePoint m_begunAt {};
    TimePoint m_confirmedAt {};
    std::uint64_t m_wantedDigest { 0 }; ///< Of what another VM read and this one lacks.
    TimePoint m_wantedAt {}; ///< When that VM read it.
    Deadline m_helpUntil {}; ///< Until then a VM that lacks something leaves the reading to others.
    bool m_isReading { false };
    bool m_hasFailed { false }; ///< The last reading.
    bool m_hasList { false };
    bool m_lacksSomething { true };
    bool m_isActing { false }; ///< It reads in the place of a VM that has fallen silent.
};

} // namespace Sapphire
