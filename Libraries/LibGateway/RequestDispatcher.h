#pragma once

#include <LibCore/RandomSource.h>
#include <LibGateway/GatewayRequest.h>
#include <LibGateway/RegionDemand.h>
#include <LibGateway/TargetRegistry.h>
#include <LibSteering/CacheExpectation.h>
#include <LibSteering/DemandMeter.h>
#include <LibSteering/Placement.h>
#include <LibSteering/ProcessingTimes.h>
#include <LibSteering/RatioBudget.h>
#include <LibSteering/RegionWeights.h>
#include <LibSteering/RequestQueueing.h>

#include <list>
#include <unordered_map>

namespace Sapphire {

/// Chooses targets for requests, and queues the requests that have to wait for one.
class RequestDispatcher
{
public:
    RequestDispatcher(Gateway &gateway, TargetRegistry &targets, const Locality &ownLocality);

    void applyRules(const RefPointer<const ServingRules> &rules);
    /// Sets the source of the regions' demand.
    void setDemandSource(RegionDemandSource &source)
    {
        m_demandSource = &source;
    }
    /// Sends the request to a target, lets it wait or refuses it.
    void submit(GatewayRequest &request);
    /// Removes a waiting request from its queue.
    void cancel(GatewayRequest &request);
    /// Looks for targets for waiting requests of the service after the current round of events.
    void capacityChanged(const ServiceId &service);
    /// Updates the estimates of the target and the route from an answer.
    void noteAnswer(const GatewayRequest &request, RequestAttempt &attempt);
    /// An answer of the target asked all VMs for at most so many requests a second, or for no limit.
    void noteRateLimit(GatewayTarget &target, std::optional<double> requestsPerSecond);
    /// Updates the estimates of the target from an attempt that brought no answer in time.
    void noteTimeout(RequestAttempt &attempt);
    /// When a refused caller may come back with the best prospect.
    Deadline retryTime(const GatewayRequest &request);
    /// Returns the demand of this VM's callers for each service.
    ServiceDemands demand();
    std::size_t waitingCount() const;

private:
    using Queue = std::list<RefPointer<GatewayRequest>>;
    using Regions = std::vector<const RegionTargets *>;

    struct Service
    {
        Service(const RegionId &own);

        Queue waiting; ///< The most urgent request is first.
        std::size_t scanPosition { 0 }; ///< Position in the queue from which the next scan begins.
        RegionWeights regionWeights;
        RatioBudget spillover; ///< Requests sent to another region than the weights chose.
        DemandMeter demand;
    };

    /// The options for a request in some regions, and the targets that they stand for.
    struct Candidates
    {
        TargetGroup targets;
        std::vector<PlacementOption> options;
        std::vector<CacheExpectation> cacheExpectations;
        std::uint64_t objectKey { 0 };
        std::size_t preferred { 0 }; ///< Position of the target that all VMs prefer for the object.
    };

    struct Choice
    {
        RefPointer<GatewayTarget> target;
        AttemptForecast forecast;
        bool isSpillover { false }; ///< The target is outside the region that the weights chose.
    };

    /// Returns the fraction of a target's rate that this VM may use, for a target of the service in the region.
    double rateShare(const ServiceId &service, const RegionId &region);
    std::map<RegionId, Demand> regionDemands(const ServiceId &service);
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
    /// Updates the estimates from an answer that did not have to wait for a slot.
    void noteProcessingTime(const GatewayRequest &request, GatewayTarget &target, CacheExpectation cacheExpectation,
                            Microseconds time);
    AnswerForecast forecastOf(const GatewayRequest &request, const Choice &choice) const;
    bool maySend(const GatewayRequest &request, const Choice &choice) const;
    void send(GatewayRequest &request, const Choice &choice);
    void enqueue(GatewayRequest &request);
    /// Looks for targets for waiting requests from the given position on, until `mostMisses` of them have found none.
    /// Returns the position at which it stopped; 0 at the end of the queue.
    std::size_t serve(const Service &service, std::size_t first, std::size_t mostMisses);
    void serveAll();
    /// Whether a target of the service has said that it is leaving or wants no requests now.
    bool hasNotices(const ServiceId &service) const;
    /// If no target takes the request because all that could have asked for a pause or are leaving: when the first one
    /// takes requests again, or never.
    std::optional<Deadline> closedUntil(const GatewayRequest &request) const;
    /// Refuses the request, which no target takes before the given time.
    void refuseUntil(GatewayRequest &request, Deadline opensAt);
    void refuseHopeless(const ServiceId &service);
    void adjustWeights();
    void adjustWeightsOf(const ServiceId &id, Service &service);
    void startTick();

    EventLoop &m_loop;
    TargetRegistry &m_targets;
    Locality m_ownLocality;
    EarliestAnswerPlacement m_policy;
    ProcessingTimes m_processingTimes;
    RegionDemandSource *m_demandSource { nullptr };
    RandomSource m_random;
    std::unordered_map<ServiceId, Service> m_services;
    std::set<ServiceId> m_changed;
    bool m_isServeScheduled { false };
    Timer m_tick; ///< Serves the queues again, since estimates change with time alone.
    Timer m_weightTimer;
};

} // namespace Sapphire
