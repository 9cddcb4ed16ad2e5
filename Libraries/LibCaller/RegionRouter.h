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

/// Runs a request in the region that the steering chooses, at the own targets or through a VM of that region.
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
    /// Runs a request that a VM of another region forwarded, if the own region has room for it.
    ExchangeReport runForwarded(const RequestHead &head, BodySource &body, AnswerSink &sink,
                                const Fingerprint &fingerprint);

    /// Moves the weights; called about once a second with what is known of all regions.
    void adjust(const std::vector<RegionRoom> &reportedUsages,
                const std::function<bool(const ServiceId &)> &isOwnRegionSlow);
    /// Returns the weights of a service by region, for operators.
    std::map<RegionId, Share> weights(const ServiceId &service) const;

    /// Notes that a target died while these requests of this VM ran there, one entry for each.
    void noteDeath(std::vector<Fingerprint> running, bool areAllKnown);
    void mergeSuspect(const CrashSuspect &suspect);
    /// Sets a function that is called when a suspect is new or worse. It must not call the router.
    void setSuspectListener(std::function<void()> listener);
    std::vector<CrashSuspect> suspectsSeenAfter(TimePoint after) const;
    /// Returns whether a retry of the request may be made, and accounts for it.
    bool tryRetry(const RequestHead &head, const Fingerprint &fingerprint);

private:
    std::optional<Refusal> refuseSuspect(const RequestHead &head, const Fingerprint &fingerprint) const;
    RegionSteering &steeringOf(const ServiceId &service);
    RegionSteeringSettings settingsOf(const ServiceId &service) const;
    std::optional<VmId> chooseVm(const RegionId &region);
    ExchangeReport runHere(const RequestHead &head, BodySource &body, AnswerSink &sink, const Fingerprint &fingerprint,
                           bool mayRetry);
    ExchangeReport runThere(const RegionId &region, const RequestHead &head, BodySource &body, AnswerSink &sink);

    Parts m_parts;
    VmId m_ownVm;
    RegionId m_ownRegion;
    mutable std::mutex m_mutex;
    RandomSource m_random;
    std::map<ServiceId, RegionSteering> m_steering;
    std::vector<RegionRoom> m_rooms;
    RetryBudget m_retryBudget;
    CrashSuspects m_suspects;
    std::function<void()> m_onSuspect { [] {} };
};

/// Returns the identity of a request for the search for requests that crash targets. The body counts as far as given.
Fingerprint fingerprintOf(const RequestHead &head, const std::string &bodyBeginning);

} // namespace Sapphire
