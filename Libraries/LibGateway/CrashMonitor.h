#pragma once

#include <LibCore/Deadline.h>
#include <LibGateway/CallerRequest.h>
#include <LibSteering/CrashSuspects.h>
#include <LibSteering/EventWindow.h>

#include <functional>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// Returns the identity of a request that comes again: its customer, method, target and body.
Fingerprint fingerprintOf(const CustomerId &customer, const CallerRequest &request, std::string_view body);

/// Finds out which requests make targets fail. A connection that breaks while a request runs says little; if the target
/// then turns out to have ended, the requests whose connections broke are suspects, unless many targets end at once.
class CrashMonitor
{
public:
    /// `onSuspect` is called with each suspect that is new or worse, to tell the other VMs.
    explicit CrashMonitor(std::function<void(const CrashSuspect &)> onSuspect);

    /// A request was running when its connection to the target broke.
    void noteConnectionLost(const TargetId &target, const Fingerprint &fingerprint, TimePoint now);
    /// The target accepts no connections, or has started anew.
    void noteTargetDied(const TargetId &target, TimePoint now);
    /// The target has answered a request.
    void noteAnswered(const Fingerprint &fingerprint, TimePoint now);
    /// Takes what another VM has found out.
    void merge(const CrashSuspect &suspect, TimePoint now);
    /// Whether the request must not be sent to a target.
    bool isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const;
    /// Forgets what is old.
    void expire(TimePoint now);

private:
    /// Returns whether so many targets ended that their requests are not the cause.
    bool countDeath(TimePoint now);

    struct LostConnection
    {
        Fingerprint fingerprint;
        TimePoint at;
    };

    std::function<void(const CrashSuspect &)> m_onSuspect;
    CrashSuspects m_suspects;
    std::unordered_map<TargetId, std::vector<LostConnection>> m_lostConnections;
    EventWindow m_deaths; ///< Of targets with broken requests, lately.
};

} // namespace Sapphire
