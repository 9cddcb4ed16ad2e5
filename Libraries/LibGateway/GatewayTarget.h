#pragma once

#include <LibGateway/TargetSession.h>
#include <LibSteering/ColdStartLimiter.h>
#include <LibSteering/FailureTracker.h>
#include <LibSteering/RecentObjects.h>
#include <LibSteering/TargetListEntry.h>
#include <LibSteering/TargetLoad.h>
#include <LibSteering/TargetNotices.h>
#include <LibSteering/TargetQuality.h>
#include <LibSteering/TargetRateLimit.h>

#include <set>
#include <vector>

namespace Sapphire {

class GatewayTarget;

/// Targets whose health has to be checked.
using TargetsToCheck = std::set<RefPointer<GatewayTarget>>;

/// What this VM knows of a target (its list entry, load, failures, speed and caches), and the idle connections to it.
class GatewayTarget final : public RefCounted<GatewayTarget>
{
public:
    /// Adds itself to `toCheck`, which must outlive it, when a health check becomes necessary.
    GatewayTarget(EventLoop &loop, const WireNames &names, TargetListEntry entry, Locality locality,
                  RefPointer<TargetNotices> notices, TargetsToCheck &toCheck);

    const TargetListEntry &entry() const
    {
        return m_entry;
    }
    const TargetId &id() const
    {
        return m_entry.id;
    }
    /// The hash of the id.
    std::uint64_t hash() const
    {
        return m_hash;
    }
    const Locality &locality() const
    {
        return m_locality;
    }
    /// Applies a newer entry of the target list.
    void update(const TargetListEntry &entry);
    /// The target was removed from the list and gets no more requests.
    void setRemoved();
    /// Whether it is listed, not draining and has not said that it is leaving.
    bool isInService() const
    {
        return !m_isRemoved && !m_entry.isDraining && !m_notices->isLeaving();
    }
    /// What it has told this VM about its use.
    TargetNotices &notices()
    {
        return *m_notices;
    }
    const RefPointer<TargetNotices> &sharedNotices() const
    {
        return m_notices;
    }
    /// The incarnation that was started at the given Unix time has said that it is leaving. Returns whether that is
    /// news.
    bool noteLeaving(std::int64_t startedAtMilliseconds);

    /// Whether its caches are empty, as far as the list and the last health check say. An unverified target counts as
    /// cold.
    bool isCold(TimePoint now) const
    {
        return m_isUnverified || now < m_coldUntil;
    }
    /// Whether the target may have restarted, so that a health check is due.
    bool isUnverified() const
    {
        return m_isUnverified;
    }
    void setUnverified();
    /// Whether a health check is due now or later.
    bool needsCheck() const
    {
        return m_isUnverified || m_failures.isEjected();
    }
    /// Earliest time of the next health check; set if the target had no slot for the last one.
    Deadline nextCheckAt() const
    {
        return m_nextCheckAt;
    }
    void setNextCheckAt(Deadline at)
    {
        m_nextCheckAt = at;
    }
    /// The target has passed a health check, which said until when it stays cold.
    void noteCheckPassed(TimePoint coldUntil);

    TargetLoad &load()
    {
        return m_load;
    }
    /// Decides from the outcomes of its requests whether it is ejected or on trial.
    const FailureTracker &failures() const
    {
        return m_failures;
    }
    /// Whether the outcomes of earlier requests allow another one now: it is not ejected, and a target on trial has no
    /// request in flight.
    bool mayTakeRequest() const
    {
        const bool isTrialRunning = m_failures.isOnTrial() && m_load.inFlight() > 0;
        return !m_failures.isEjected() && !isTrialRunning;
    }
    /// A request was answered.
    void noteAnswered()
    {
        m_failures.noteAnswered();
    }
    /// A request has failed. Returns whether that ejects the target.
    bool noteFailure(TimePoint now);
    /// The target accepts no connections or fails its health check.
    void noteUnreachable(TimePoint now);
    TargetQuality &quality()
    {
        return m_quality;
    }
    /// The average network round-trip time to the target, measured when connections are established.
    Microseconds roundTrip() const
    {
        return m_roundTrip;
    }
    /// A connection was established in the given time.
    void noteConnected(Microseconds time);

    ColdStartLimiter &coldLimiter()
    {
        return m_coldLimiter;
    }
    /// This VM's part of the rate that the target has asked for.
    TargetRateLimit &rateLimit()
    {
        return m_rateLimit;
    }
    RecentObjects &recentObjects()
    {
        return m_recentObjects;
    }

    /// Returns an idle connection that has been used since the given time, or opens a new one.
    /// Fails with Unavailable if connecting fails at once.
    [[nodiscard]] Result<RefPointer<TargetSession>> acquire(TimePoint usedSince);
    /// Keeps a connection for later requests, or closes it if it can't be used again or enough are idle.
    void release(const RefPointer<TargetSession> &session);
    /// Closes idle connections that the target may close soon, or all of them. Closes all if the target is leaving.
    void closeIdle(bool isAll);

private:
    void requestCheck();

    EventLoop &m_loop;
    const WireNames &m_names;
    TargetListEntry m_entry;
    std::uint64_t m_hash;
    Locality m_locality;
    RefPointer<TargetNotices> m_notices;
    TargetsToCheck &m_toCheck;
    Poco::Net::SocketAddress m_address;
    TargetLoad m_load;
    FailureTracker m_failures;
    TargetQuality m_quality;
    Microseconds m_roundTrip { Milliseconds(2) };
    ColdStartLimiter m_coldLimiter;
    TargetRateLimit m_rateLimit;
    RecentObjects m_recentObjects;
    TimePoint m_coldUntil;
    bool m_isUnverified { false };
    Deadline m_nextCheckAt;
    std::vector<RefPointer<TargetSession>> m_idle; ///< The one used last is at the end.
    bool m_isRemoved { false };
};

} // namespace Sapphire
