#pragma once

#include <LibCore/Deadline.h>
#include <LibGateway/CallerRequest.h>
#include <LibSteering/CrashSuspects.h>
#include <LibSteering/EventWindow.h>

#include <functional>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// Returns a hash of customer, method, host, target and body, by which a repeated request is recognized.
Fingerprint fingerprintOf(const CustomerId &customer, const CallerRequest &request, std::string_view body);

/// What the death of a target says about the requests that were lost there.
struct TargetDeath
{
    std::size_t lost { 0 }; ///< Requests of this VM whose connections to the target had just broken.
    std::size_t blamed { 0 }; ///< How many of them are suspected of having caused it.
    bool isMassDeath { false }; ///< So many targets died at once that requests are not the cause.
};

/// Identifies requests that may crash targets. A connection that breaks while a request runs says little; if the target
/// then turns out to have died, the requests whose connections broke become suspects, unless many targets die at once.
class CrashMonitor
{
public:
    /// `onSuspect` is called with each suspect that is new or was seen again, to broadcast it to the other VMs.
    explicit CrashMonitor(std::function<void(const CrashSuspect &)> onSuspect);

    /// A request was running when its connection to the target broke.
    void noteConnectionLost(const TargetId &target, const Fingerprint &fingerprint, TimePoint now);
    /// The target accepts no connections, or has restarted.
    TargetDeath noteTargetDied(const TargetId &target, TimePoint now);
    /// The target has answered a request.
    void noteAnswered(const Fingerprint &fingerprint, TimePoint now);
    /// Takes over a suspect that another VM has reported.
    void merge(const CrashSuspect &suspect, TimePoint now);
    /// Returns up to `count` suspects that other VMs should refuse, too, those with the most crashes first.
    std::vector<CrashSuspect> worstSuspects(std::size_t count, TimePoint now) const
    {
        return m_suspects.worst(count, now);
    }
    /// Whether the request must not be sent to a target.
    bool isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const;
    /// Drops old suspects and lost connections.
    void expire(TimePoint now);

private:
    /// Counts the death of a target. Returns whether so many died lately that their requests are not the cause.
    bool countDeath(TimePoint now);

    struct LostConnection
    {
        Fingerprint fingerprint;
        TimePoint at;
    };

    std::function<void(const CrashSuspect &)> m_onSuspect;
    CrashSuspects m_suspects;
    std::unordered_map<TargetId, std::vector<LostConnection>> m_lostConnections;
    EventWindow m_deaths; ///< Recent deaths of targets whose connections broke while requests ran.
};

} // namespace Sapphire
