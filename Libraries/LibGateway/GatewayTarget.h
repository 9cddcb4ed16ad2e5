#pragma once

#include <LibGateway/TargetSession.h>
#include <LibSteering/ColdStartLimiter.h>
#include <LibSteering/FailureTracker.h>
#include <LibSteering/KnownTarget.h>
#include <LibSteering/TargetLoad.h>
#include <LibSteering/TargetQuality.h>
#include <LibSteering/WarmObjects.h>

#include <set>
#include <vector>

namespace Sapphire {

class GatewayTarget;

/// Targets whose health has to be checked.
using TargetsToCheck = std::set<RefPointer<GatewayTarget>>;

/// A target as this VM sees it, with the connections to it.
class GatewayTarget final : public RefCounted<GatewayTarget>
{
public:
    /// The target enters itself into `toCheck`, which must outlive it, when a health check becomes due.
    GatewayTarget(EventLoop &loop, const WireNames &names, KnownTarget known, Locality place, TargetsToCheck &toCheck);

    const KnownTarget &known() const
    {
        return m_known;
    }
    const TargetId &id() const
    {
        return m_known.id;
    }
    /// The hash of its id.
    std::uint64_t hash() const
    {
        return m_hash;
    }
    const Locality &place() const
    {
        return m_place;
    }
    /// Takes what the target says of itself now.
    void update(const KnownTarget &known);
    /// The target has left the list; it gets nothing more.
    void setGone();
    /// Whether it takes new work, as far as the list says.
    bool isInService() const
    {
        return !m_isGone && !m_known.isDraining;
    }

    /// Whether its caches are empty, as far as the list and the last health check say. A target of which it is not
    /// known counts as cold.
    bool isCold(TimePoint now) const
    {
        return m_isSuspect || now < m_coldUntil;
    }
    /// Whether the target may have started anew, so that a health check is due.
    bool isSuspect() const
    {
        return m_isSuspect;
    }
    void setSuspect();
    /// Whether a health check is due now or later.
    bool needsCheck() const
    {
        return m_isSuspect || m_failures.isOut();
    }
    /// When a health check may be made; for a target that was too busy for the last one.
    Deadline nextCheckAt() const
    {
        return m_nextCheckAt;
    }
    void setNextCheckAt(Deadline at)
    {
        m_nextCheckAt = at;
    }
    /// A health check was passed, and told how long the target stays cold.
    void noteCheckPassed(TimePoint coldUntil);

    TargetLoad &load()
    {
        return m_load;
    }
    /// Whether the outcomes of its requests allow to send it work.
    const FailureTracker &failures() const
    {
        return m_failures;
    }
    /// Whether it may get a request now, by what became of earlier ones.
    bool mayTakeRequest() const
    {
        const bool isTried = m_failures.isOnTrial() && m_load.inFlight() > 0;
        return !m_failures.isOut() && !isTried;
    }
    /// A request was answered.
    void noteAnswered()
    {
        m_failures.noteAnswered();
    }
    /// A request has failed. Returns whether that takes the target out.
    bool noteFailure(TimePoint now);
    /// The target accepts no connections or fails its health check.
    void noteUnreachable(TimePoint now);
    TargetQuality &quality()
    {
        return m_quality;
    }
    /// The time that a request and its answer spend on the way.
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
    WarmObjects &warmObjects()
    {
        return m_warmObjects;
    }

    /// Returns an idle connection that has been used since the given time, or begins a new one.
    /// Fails with Unavailable if that fails at once.
    [[nodiscard]] Result<RefPointer<TargetSession>> acquire(TimePoint usedSince);
    /// Takes a connection back.
    void release(const RefPointer<TargetSession> &session);
    /// Closes idle connections that the target may close soon, or all of them.
    void closeIdle(bool isAll);

private:
    void requestCheck();

    EventLoop &m_loop;
    const WireNames &m_names;
    KnownTarget m_known;
    std::uint64_t m_hash;
    Locality m_place;
    TargetsToCheck &m_toCheck;
    Poco::Net::SocketAddress m_address;
    TargetLoad m_load;
    FailureTracker m_failures;
    TargetQuality m_quality;
    Microseconds m_roundTrip { Milliseconds(2) };
    ColdStartLimiter m_coldLimiter;
    WarmObjects m_warmObjects;
    TimePoint m_coldUntil;
    bool m_isSuspect { false };
    Deadline m_nextCheckAt;
    std::vector<RefPointer<TargetSession>> m_idle; ///< The one used last is at the end.
    bool m_isGone { false };
};

} // namespace Sapphire
