#include <LibGateway/RequestDispatcher.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/GatewayEvents.h>
#include <LibGateway/RequestObject.h>
#include <LibSteering/CandidateSample.h>
#include <LibSteering/RateShare.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr Milliseconds weightInterval { 250 };
constexpr Milliseconds demandMemory { 4'000 };
// This part of the requests may spill over to another region than the weights chose, for lack of capacity there. The
// weights follow a sudden peak only slowly, and a region's requests must not all change their region at once.
constexpr RatioBudgetSettings spilloverBudget { 0.05, 0, Milliseconds(2'000) };
// In the weights of regions, the slots of a cold target count for this part.
constexpr double coldSlots = 0.3;
// From this probability on, a target is assumed to have an object in its cache.
constexpr double certainProbability = 0.85;

} // namespace

RequestDispatcher::Service::Service(const RegionId &own)
    : regionWeights(own, {}), spillover(spilloverBudget), demand(demandMemory)
{
}

RequestDispatcher::RequestDispatcher(Gateway &gateway, TargetRegistry &targets, const Locality &ownLocality)
    : m_loop(gateway.loop())
    , m_targets(targets)
    , m_ownLocality(ownLocality)
    , m_random(RandomSource::seededBySystem())
    , m_tick(gateway.loop(),
             [this] {
                 serveAll();
             })
    , m_weightTimer(gateway.loop(), [this] {
        adjustWeights();
    })
{
    m_weightTimer.start(Deadline::after(m_loop.now(), weightInterval));
}

void RequestDispatcher::applyRules(const RefPointer<const ServingRules> &rules)
{
    m_processingTimes.retain(*rules);
}

RequestDispatcher::Service &RequestDispatcher::serviceOf(const ServiceId &id)
{
    const auto [entry, isNew] = m_services.try_emplace(id, m_ownLocality.region);
    if (isNew) {
        adjustWeightsOf(id, entry->second);
    }
    return entry->second;
}

void RequestDispatcher::submit(GatewayRequest &request)
{
    Service &service = serviceOf(request.service());
    const TimePoint now = m_loop.now();
    if (!request.isRetry()) {
        service.spillover.noteRequest(now);
        service.demand.add(m_processingTimes.warm(request.route()), request.onlyRegion(), now);
    }
    const Choice choice = choose(request);
    if (choice.target && RequestQueueing::isUnmeetable(request.times(), forecastOf(request, choice), now)) {
        request.refuse(RefusalReason::NoCapacity, request.verdict(), "can't be answered in time", retryTime(request));
        return;
    }
    if (maySend(request, choice)) {
        send(request, choice);
    } else if (const std::optional<Deadline> opensAt = choice.target ? std::nullopt : closedUntil(request)) {
        refuseUntil(request, *opensAt);
    } else {
        enqueue(request);
    }
}

AnswerForecast RequestDispatcher::forecastOf(const GatewayRequest &request, const Choice &choice) const
{
    return { choice.forecast.time, choice.forecast.hasFreeSlot, m_processingTimes.isKnown(request.route()) };
}

bool RequestDispatcher::maySend(const GatewayRequest &request, const Choice &choice) const
{
    return choice.target && RequestQueueing::maySend(request.times(), forecastOf(request, choice), m_loop.now());
}

void RequestDispatcher::send(GatewayRequest &request, const Choice &choice)
{
    const TimePoint now = m_loop.now();
    if (choice.isSpillover) {
        serviceOf(request.service()).spillover.noteEvent(now);
    }
    if (choice.target->isCold(now)) {
        choice.target->coldLimiter().noteSent(now);
    }
    choice.target->rateLimit().noteSent(now);
    request.sendTo(choice.target, choice.forecast);
}

bool RequestDispatcher::isEligible(GatewayTarget &target, const GatewayRequest &request) const
{
    const TimePoint now = m_loop.now();
    return m_targets.takesWork(target) && !target.notices().isPaused(now) && target.mayTakeRequest()
        && !request.hasTried(target.id()) && (!target.isCold(now) || target.coldLimiter().maySend(now))
        && target.rateLimit().maySend(now);
}

RequestDispatcher::Regions RequestDispatcher::openRegions(const GatewayRequest &request)
{
    Regions open;
    for (const RegionTargets &region : m_targets.regionsOf(request.service())) {
        const bool hasTarget = std::any_of(region.targets.begin(), region.targets.end(), [&](const auto &target) {
            return isEligible(*target, request);
        });
        if (request.mayRunIn(region.region) && hasTarget) {
            open.push_back(&region);
        }
    }
    return open;
}

RequestDispatcher::Choice RequestDispatcher::choose(const GatewayRequest &request)
{
    Service &service = serviceOf(request.service());
    Regions others = openRegions(request);
    const double position = request.caller().object.empty() ? m_random.unit() : positionOf(request.caller().object);
    const RegionId chosenRegion = service.regionWeights.choose(position, [&others](const RegionId &region) {
        return std::any_of(others.begin(), others.end(), [&region](const RegionTargets *open) {
            return open->region == region;
        });
    });
    const auto isChosenRegion = [&chosenRegion](const RegionTargets *open) {
        return open->region == chosenRegion;
    };
    const auto end = std::stable_partition(others.begin(), others.end(), isChosenRegion);
    Choice choice = chooseIn(request, Regions(others.begin(), end));
    others.erase(others.begin(), end);
    const bool isGood =
        choice.target && RequestQueueing::isOnTime(request.times(), forecastOf(request, choice), m_loop.now());
    if (isGood || others.empty() || !service.spillover.isAllowed(m_loop.now())) {
        return choice;
    }
    Choice other = chooseIn(request, others);
    if (other.target && (!choice.target || other.forecast.time < choice.forecast.time)) {
        other.isSpillover = true;
        return other;
    }
    return choice;
}

RequestDispatcher::Choice RequestDispatcher::chooseIn(const GatewayRequest &request, const Regions &regions)
{
    const Candidates found = candidates(request, regions);
    const std::optional<PlacementChoice> chosen = m_policy.choose(found.options);
    Choice choice;
    if (chosen) {
        const PlacementOption &option = found.options[chosen->position];
        choice.target = found.targets[chosen->position];
        choice.forecast.cacheExpectation = found.cacheExpectations[chosen->position];
        choice.forecast.isCold = option.isCold;
        choice.forecast.hasFreeSlot = chosen->hasFreeSlot;
        choice.forecast.roundTrip = option.roundTrip;
        choice.forecast.time = chosen->time;
    }
    return choice;
}

RequestDispatcher::Candidates RequestDispatcher::candidates(const GatewayRequest &request, const Regions &regions)
{
    const std::string &object = request.caller().object;
    const std::uint64_t objectHash = stableHash(object);
    Candidates found;
    found.objectKey = objectKey(request);
    for (const RegionTargets *const region : regions) {
        std::vector<RankedCandidate> eligible;
        for (std::size_t i = 0; i < region->targets.size(); ++i) {
            if (isEligible(*region->targets[i], request)) {
                eligible.push_back({ rendezvousRank(objectHash, region->targets[i]->hash()), i });
            }
        }
        CandidateSample::reduce(eligible, m_random);
        for (const RankedCandidate &candidate : eligible) {
            addCandidate(region->targets[candidate.position], request, candidate.rank, found);
        }
    }
    for (std::size_t i = 0; i < found.options.size(); ++i) {
        // All VMs prefer the same target for an object, so that it may have handled the object for another VM.
        const bool isPreferred =
            i == found.preferred && request.route().hasObjectAffinity && !object.empty() && !found.options[i].isCold;
        if (isPreferred && found.cacheExpectations[i] == CacheExpectation::Unlikely) {
            found.cacheExpectations[i] = CacheExpectation::Usual;
        }
        const double slowness = found.targets[i]->quality().slowness(m_loop.now());
        const bool isLikelyCached = found.cacheExpectations[i] != CacheExpectation::Unlikely;
        const Microseconds work =
            isLikelyCached ? m_processingTimes.warm(request.route()) : m_processingTimes.cold(request.route());
        found.options[i].work = scaled(work, slowness);
        found.options[i].meanWork = scaled(m_processingTimes.warm(request.route()), slowness);
    }
    return found;
}

void RequestDispatcher::addCandidate(const RefPointer<GatewayTarget> &target, const GatewayRequest &request,
                                     std::uint64_t rank, Candidates &found)
{
    const TimePoint now = m_loop.now();
    PlacementOption option;
    option.rank = rank;
    option.load = target->load().expected(now);
    option.slots = target->load().slots();
    option.isShedding = target->load().isShedding(now);
    option.isCold = target->isCold(now);
    option.roundTrip = target->roundTrip();
    option.failureRate = target->quality().failureRate(now);
    found.cacheExpectations.push_back(request.caller().object.empty() || option.isCold
                                          ? CacheExpectation::Unlikely
                                          : expectationAt(target->recentObjects().lastHandled(found.objectKey), now));
    found.targets.push_back(target);
    found.options.push_back(option);
    const PlacementOption &preferred = found.options[found.preferred];
    const bool isPreferred =
        !option.isCold && (preferred.isCold || option.rank > preferred.rank || found.options.size() == 1);
    if (isPreferred) {
        found.preferred = found.options.size() - 1;
    }
}

void RequestDispatcher::adjustWeights()
{
    for (auto &[id, service] : m_services) {
        adjustWeightsOf(id, service);
    }
    m_weightTimer.start(Deadline::after(m_loop.now(), weightInterval));
}

void RequestDispatcher::adjustWeightsOf(const ServiceId &id, Service &service)
{
    const TimePoint now = m_loop.now();
    std::map<RegionId, RegionLoad> regions;
    for (const RegionTargets &region : m_targets.regionsOf(id)) {
        std::optional<double> share;
        for (const RefPointer<GatewayTarget> &target : region.targets) {
            if (target->rateLimit().rate()) {
                share = share ? share : rateShare(id, region.region);
                target->rateLimit().setShare(*share, now);
            }
            const bool isUsable = !target->failures().isEjected() && !target->notices().isPaused(now);
            if (m_targets.takesWork(*target) && isUsable) {
                regions[region.region].slots += target->load().slots() * (target->isCold(now) ? coldSlots : 1);
            }
        }
    }
    for (const auto &[callerRegion, demand] : regionDemands(id)) {
        if (const auto own = regions.find(callerRegion); own != regions.end()) {
            own->second.demand = demand.free;
        }
        for (const auto &[region, slots] : demand.bound) {
            if (const auto target = regions.find(region); target != regions.end()) {
                target->second.boundDemand += slots;
            }
        }
    }
    service.regionWeights.adjust(regions, now);
}

void RequestDispatcher::noteAnswer(const GatewayRequest &request, RequestAttempt &attempt)
{
    GatewayTarget &target = attempt.target();
    const AttemptForecast &forecast = attempt.forecast();
    const Microseconds time = attempt.answeredAt() - attempt.startedAt() - forecast.roundTrip;
    if (forecast.hasFreeSlot && !forecast.isCold) {
        noteProcessingTime(request, target, forecast.cacheExpectation, time);
    }
    if (!request.caller().object.empty()) {
        target.recentObjects().note(objectKey(request), m_loop.now());
    }
}

void RequestDispatcher::noteProcessingTime(const GatewayRequest &request, GatewayTarget &target,
                                           CacheExpectation cacheExpectation, Microseconds time)
{
    const Route &route = request.route();
    const bool wasWarm = m_processingTimes.note(route, cacheExpectation, time);
    // If a target that very likely has the object in its cache takes as long as without it, the target is slow.
    const bool isSure = wasWarm || m_processingTimes.hitProbability(route, cacheExpectation) >= certainProbability;
    const Microseconds baseline = isSure ? m_processingTimes.warm(route) : m_processingTimes.cold(route);
    target.quality().noteAnswer(time, baseline, m_loop.now());
}

void RequestDispatcher::noteTimeout(RequestAttempt &attempt)
{
    const TimePoint now = m_loop.now();
    attempt.target().quality().noteTimeout(now - attempt.startedAt(), attempt.forecast().time, now);
}

Deadline RequestDispatcher::retryTime(const GatewayRequest &request)
{
    return RequestQueueing::retryAt(request.times(), m_random.unit(), m_loop.now());
}

void RequestDispatcher::noteRateLimit(GatewayTarget &target, std::optional<double> requestsPerSecond)
{
    const TimePoint now = m_loop.now();
    if (!target.rateLimit().noteNamed(requestsPerSecond, m_random.unit(), now)) {
        return;
    }
    const double share = rateShare(target.entry().service, target.locality().region);
    target.rateLimit().setShare(share, now);
    logEvent(
        GatewayEvents::targetLimited,
        { { "target", target.id() }, { "requestsPerSecond", requestsPerSecond.value_or(-1) }, { "share", share } });
}

double RequestDispatcher::rateShare(const ServiceId &service, const RegionId &region)
{
    return RateShare::ofTarget(region, { m_ownLocality.region, serviceOf(service).demand.demand(m_loop.now()) },
                               regionDemands(service), m_targets.vms());
}

std::map<RegionId, Demand> RequestDispatcher::regionDemands(const ServiceId &service)
{
    return m_demandSource != nullptr ? m_demandSource->demandFor(service) : std::map<RegionId, Demand>();
}

ServiceDemands RequestDispatcher::demand()
{
    ServiceDemands demands;
    for (auto &[id, service] : m_services) {
        demands[id] = service.demand.demand(m_loop.now());
    }
    return demands;
}

} // namespace Sapphire
