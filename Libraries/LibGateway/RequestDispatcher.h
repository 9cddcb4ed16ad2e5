#pragma once

#include <LibCore/RandomSource.h>
#include <LibGateway/GatewayRequest.h>
#include <LibGateway/RegionDemand.h>
#include <LibGateway/TargetBook.h>
#include <LibSteering/DemandMeter.h>
#include <LibSteering/Placement.h>
#include <LibSteering/RatioBudget.h>
#include <LibSteering/RegionShares.h>
#include <LibSteering/RequestQueueing.h>
#include <LibSteering/Warmth.h>
#include <LibSteering/WorkTimes.h>

#include <list>
#include <unordered_map>

namespace Sapphire {

/// Finds targets for requests, and keeps those that have to wait for one.
class RequestDispatcher
{
public:
    RequestDispatcher(Gateway &gateway, TargetBook &targets, const Locality &ownPlace);

    void applyRules(const RefPointer<const ServingRules> &rules);
    /// Sets where the demand of the regions is known from.
    void setDemandSource(RegionDemandSource &source)
    {
        m_demandSource = &source;
    }
    /// Sends the request to a target, lets it wait or refuses it.
    void submit(GatewayRequest &request);
    /// Forgets a request that waits.
    void cancel(GatewayRequest &request);
    /// Looks for targets for the waiting requests of the service after the current round of events.
    void capacityChanged(const ServiceId &service);
    /// Learns from an answer.
    void noteAnswer(const GatewayRequest &request, RequestAttempt &attempt);
    /// Learns from an attempt that brought no answer in time.
    void noteTimeout(RequestAttempt &attempt);
    /// When a refused caller may come back with the best prospect.
    Deadline retryTime(const GatewayRequest &request);
    /// The requests of this VM's callers for each service, in busy slots.
    std::map<ServiceId, double> demand();
    std::size_t waitingCount() const;

private:
    using Queue = std::list<RefPointer<GatewayRequest>>;
    using Regions = std::vector<const RegionTargets *>;

    struct Service
    {
        Service(const RegionId &own);

        Queue waiting; ///< The most urgent request is first.
        std::size_t nextTry { 0 }; ///< Position in the queue from which the next round begins.
        RegionShares shares;
        RatioBudget moves; ///< To other regions than the shares gave.
        DemandMeter demand;
    };

    /// The options for a request in some regions, and the targets that they stand for.
    struct Candidates
    {
        TargetGroup targets;
        std::vector<PlacementOption> options;
        std::vector<Warmth> warmth;
        std::uint64_t objectKey { 0 };
        std::size_t usual { 0 }; ///< The request's object is usually handled there.
    };

    struct Choice
    {
        RefPointer<GatewayTarget> target;
        AttemptForecast forecast;
        bool isMove { false }; ///< The target is outside the region that the shares gave.
    };

    Service &serviceOf(const ServiceId &id);
    /// Returns the best target now; null if none takes the request.
    Choice choose(const GatewayRequest &request);
    /// Returns the regions that may run the request and have a target for it.
    Regions openRegions(const GatewayRequest &request);
    Choice chooseIn(const GatewayRequest &request, const Regions &regions);
    Candidates candidates(const GatewayRequest &request, const Regions &regions);
    void addCandidate(const RefPointer<GatewayTarget> &target, const GatewayRequest &request, std::uint64_t rank,
                      Candidates &found);
    bool isEligible(GatewayTarget &target, const GatewayRequest &request) const;
    /// Learns from an answer that had not to wait for a slot.
    void noteWork(const GatewayRequest &request, GatewayTarget &target, Warmth warmth, Microseconds time);
    AnswerForecast forecastOf(const GatewayRequest &request, const Choice &choice) const;
    bool maySend(const GatewayRequest &request, const Choice &choice) const;
    void send(GatewayRequest &request, const Choice &choice);
    void enqueue(GatewayRequest &request);
    /// Looks for targets for waiting requests from the given position on, for at most so many that find none. Returns
    /// the position at which it ended; 0 at the end of the queue.
    std::size_t serve(const Service &service, std::size_t first, std::size_t mostTries);
    void serveAll();
    void refuseHopeless(const ServiceId &service);
    void adjustShares();
    void adjustSharesOf(const ServiceId &id, Service &service);
    void startTick();

    EventLoop &m_loop;
    TargetBook &m_targets;
    Locality m_ownPlace;
    EarliestAnswerPlacement m_policy;
    WorkTimes m_workTimes;
    RegionDemandSource *m_demandSource { nullptr };
    RandomSource m_random;
    std::unordered_map<ServiceId, Service> m_services;
    std::set<ServiceId> m_changed;
    bool m_isServeScheduled { false };
    Timer m_tick; ///< Estimates change with time alone.
    Timer m_shareTimer;
};

} // namespace Sapphire
