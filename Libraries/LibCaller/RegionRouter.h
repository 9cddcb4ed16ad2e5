#pragma once

#include <LibCaller/FleetPeers.h>
#include <LibCaller/LocalTargets.h>
#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Roster.h>
#include <LibCore/Clock.h>
#include <LibCore/Metrics.h>
#include <LibCore/Tracer.h>
#include <LibSteering/CrashSuspects.h>
#include <LibSteering/RegionSteering.h>
#include <LibSteering/RetryBudget.h>

#include <functional>
#include <map>
#include <mutex>

namespace Sapphire {

/// Runs requests in the region that RegionSteering chooses, at the targets of the own region or through a VM of the
/// other one. Refuses crash suspects and keeps the retry budget.
class RegionRouter
{
public:
    struct Parts
    {
        const ConfigurationSource &configuration;
        const Roster &roster;
        LocalTargets &localTargets;
        FleetPeers &peers;
        const Clock &clock;
        Metrics &metrics;
        Tracer &tracer;
    };

    RegionRouter(Parts parts, VmId ownVm, RegionId ownRegion);

    /// Runs a request that a caller sent to this VM.
    ExchangeReport route(const RequestHead &head, BodySource &body, AnswerSink &sink, const Fingerprint &fingerprint);
    /// Runs a request that a VM of another region forwarded, if the own region has capacity for it.
    ExchangeReport runForwarded(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                const Fingerprint &fingerprint);

    /// Adjusts the region weights. Must be called about once a second with the usage of all regions.
    void adjust(const std::vector<RegionUsage> &reportedUsages,
                const std::function<bool(const ServiceId &)> &isOwnRegionSlow);
    /// Returns the weights of a service by region, for display to operators.
    std::map<RegionId, Share> weights(const ServiceId &service) const;

    /// Records that a target died while these requests of this VM ran there, one entry for each.
    void noteDeath(std::vector<Fingerprint> running, bool areAllKnown);
    void mergeSuspect(const CrashSuspect &suspect);
    /// Sets a function that is called when a crash suspect is added or updated. It must not call the router.
    void setSuspectListener(std::function<void()> listener);
    std::vector<CrashSuspect> suspectsSeenAfter(TimePoint after) const;
    /// Returns whether a retry of the request may be made. If so, counts it against the retry budget.
    bool tryRetry(const RequestHead &head, const Fingerprint &fingerprint);

private:
    std::optional<Refusal> refuseSuspect(const RequestHead &head, const Fingerprint &fingerprint) const;
    RegionSteering &steeringOf(const ServiceId &service);
    RegionSteeringSettings settingsOf(const ServiceId &service) const;
    std::optional<VmId> chooseVm(const RegionId &region);
    ExchangeReport runLocally(const RequestHead &head, BodySource &body, AnswerSink &sink,
                              const Fingerprint &fingerprint, bool mayRetry);
    ExchangeReport runInRegion(const RegionId &region, const RequestHead &head, BodySource &body, AnswerSink &sink);

    Parts m_parts;
    VmId m_ownVm;
    RegionId m_ownRegion;
    mutable std::mutex m_mutex;
    RandomSource m_random;
    std::map<ServiceId, RegionSteering> m_steering;
    std::vector<RegionUsage> m_regionUsages;
    RetryBudget m_retryBudget;
    CrashSuspects m_suspects;
    std::function<void()> m_onSuspect { [] {} };
};

/// Returns the identity of a request for detecting requests that crash targets. Only the given beginning of the body is
/// part of it.
Fingerprint fingerprintOf(const RequestHead &head, const std::string &bodyBeginning);

} // namespace Sapphire
