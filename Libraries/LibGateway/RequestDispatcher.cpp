#include <LibGateway/RequestDispatcher.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibGateway/Gateway.h>
#include <LibSteering/CandidateSample.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr Milliseconds tickInterval { 20 };
// Waiting requests that find no target in a row, before the VM turns to its other work. A long queue would otherwise
// take all of a small VM's processor.
constexpr std::size_t mostTriesOfChange = 4;
constexpr std::size_t mostTriesOfTick = 16;
constexpr Milliseconds shareInterval { 250 };
constexpr Milliseconds demandMemory { 4'000 };
// So many requests may leave the region that the shares gave them, for lack of room there. The shares follow a sudden
// peak only slowly, and a region's requests must not all change their region at once.
constexpr RatioBudgetSettings moveBudget { 0.05, 0, Milliseconds(2'000) };
// How long a target keeps what it needs for an object depends on how many others it handles.
constexpr Milliseconds recentTime { 5'000 };
constexpr Milliseconds earlierTime { 60'000 };
constexpr double coldSlots = 0.3;
// With this likelihood that a target has an object at hand, it is taken for sure.
constexpr double sureShare = 0.85;

Warmth warmthAt(TimePoint lastHandled, TimePoint now)
{
    if (now - lastHandled < recentTime) {
        return Warmth::Recent;
    }
    return now - lastHandled < earlierTime ? Warmth::Earlier : Warmth::Unlikely;
}

/// Returns the identity of a request's object among those of its route.
std::uint64_t objectKey(const GatewayRequest &request)
{
    return stableHash(request.route().id.text() + "\n" + request.caller().object);
}

/// Returns the position in [0, 1) of an object among those of its service.
double positionOf(const std::string &object)
{
    constexpr double span = 18446744073709551616.0;
    return static_cast<double>(stableHash("position " + object)) / span;
}

} // namespace

RequestDispatcher::Service::Service(const RegionId &own) : shares(own, {}), moves(moveBudget), demand(demandMemory)
{
}

RequestDispatcher::RequestDispatcher(Gateway &gateway, TargetBook &targets, const Locality &ownPlace)
    : m_loop(gateway.loop())
    , m_targets(targets)
    , m_ownPlace(ownPlace)
    , m_random(RandomSource::seededBySystem())
    , m_tick(gateway.loop(),
             [this] {
                 serveAll();
             })
    , m_shareTimer(gateway.loop(), [this] {
        adjustShares();
    })
{
    m_shareTimer.start(Deadline::after(m_loop.now(), shareInterval));
}

void RequestDispatcher::applyRules(const RefPointer<const ServingRules> &rules)
{
    m_workTimes.retain(*rules);
}

RequestDispatcher::Service &RequestDispatcher::serviceOf(const ServiceId &id)
{
    const auto [entry, isNew] = m_services.try_emplace(id, m_ownPlace.region);
    if (isNew) {
        adjustSharesOf(id, entry->second);
    }
    return entry->second;
}

void RequestDispatcher::submit(GatewayRequest &request)
{
    Service &service = serviceOf(request.service());
    const TimePoint now = m_loop.now();
    if (!request.isRetry()) {
        service.moves.noteRequest(now);
        const Microseconds work = m_workTimes.warm(request.route());
        service.demand.add(std::chrono::duration<double>(work).count(), now);
    }
    const Choice choice = choose(request);
    if (choice.target && RequestQueueing::isBeyondReach(request.times(), forecastOf(request, choice), now)) {
        request.refuse(RefusalReason::NoCapacity, request.verdict(), "can't be answered in time", retryTime(request));
        return;
    }
    if (maySend(request, choice)) {
        send(request, choice);
    } else {
        enqueue(request);
    }
}

AnswerForecast RequestDispatcher::forecastOf(const GatewayRequest &request, const Choice &choice) const
{
    return { choice.forecast.time, choice.forecast.hasFreeSlot, m_workTimes.isKnown(request.route()) };
}

bool RequestDispatcher::maySend(const GatewayRequest &request, const Choice &choice) const
{
    return choice.target && RequestQueueing::maySend(request.times(), forecastOf(request, choice), m_loop.now());
}

void RequestDispatcher::send(GatewayRequest &request, const Choice &choice)
{
    const TimePoint now = m_loop.now();
    if (choice.isMove) {
        serviceOf(request.service()).moves.noteEvent(now);
    }
    if (choice.target->isCold(now)) {
        choice.target->coldLimiter().noteSent(now);
    }
    request.sendTo(choice.target, choice.forecast);
}

bool RequestDispatcher::isEligible(GatewayTarget &target, const GatewayRequest &request) const
{
    const TimePoint now = m_loop.now();
    return m_targets.takesWork(target) && target.mayTakeRequest() && !request.hasTried(target.id())
        && (!target.isCold(now) || target.coldLimiter().maySend(now));
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
    const RegionId given = service.shares.choose(position, [&others](const RegionId &region) {
        return std::any_of(others.begin(), others.end(), [&region](const RegionTargets *open) {
            return open->region == region;
        });
    });
    const auto isGiven = [&given](const RegionTargets *open) {
        return open->region == given;
    };
    const auto end = std::stable_partition(others.begin(), others.end(), isGiven);
    Choice choice = chooseIn(request, Regions(others.begin(), end));
    others.erase(others.begin(), end);
    const bool isGood =
        choice.target && RequestQueueing::isOnTime(request.times(), forecastOf(request, choice), m_loop.now());
    if (isGood || others.empty() || !service.moves.isAllowed(m_loop.now())) {
        return choice;
    }
    Choice other = chooseIn(request, others);
    if (other.target && (!choice.target || other.forecast.time < choice.forecast.time)) {
        other.isMove = true;
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
        choice.forecast.warmth = found.warmth[chosen->position];
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
        // The VMs agree on the usual target of an object, so that it may have handled the object for one of them.
        const bool isUsual =
            i == found.usual && request.route().isSticky && !object.empty() && !found.options[i].isCold;
        if (isUsual && found.warmth[i] == Warmth::Unlikely) {
            found.warmth[i] = Warmth::Usual;
        }
        const double slowness = found.targets[i]->quality().slowness(m_loop.now());
        const bool isHopeful = found.warmth[i] != Warmth::Unlikely;
        const Microseconds work = isHopeful ? m_workTimes.warm(request.route()) : m_workTimes.cold(request.route());
        found.options[i].work = scaled(work, slowness);
        found.options[i].meanWork = scaled(m_workTimes.warm(request.route()), slowness);
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
    option.failureShare = target->quality().failureShare(now);
    found.warmth.push_back(request.caller().object.empty() || option.isCold
                               ? Warmth::Unlikely
                               : warmthAt(target->warmObjects().lastHandled(found.objectKey), now));
    found.targets.push_back(target);
    found.options.push_back(option);
    const PlacementOption &usual = found.options[found.usual];
    const bool isUsual = !option.isCold && (usual.isCold || option.rank > usual.rank || found.options.size() == 1);
    if (isUsual) {
        found.usual = found.options.size() - 1;
    }
}

void RequestDispatcher::enqueue(GatewayRequest &request)
{
    Queue &queue = serviceOf(request.service()).waiting;
    const auto position = std::find_if(queue.begin(), queue.end(), [&](const RefPointer<GatewayRequest> &other) {
        return other->priority() > request.priority();
    });
    queue.insert(position, &request);
    startTick();
}

void RequestDispatcher::startTick()
{
    if (!m_tick.isRunning()) {
        m_tick.start(Deadline::after(m_loop.now(), tickInterval));
    }
}

void RequestDispatcher::cancel(GatewayRequest &request)
{
    const auto found = m_services.find(request.service());
    if (found != m_services.end()) {
        found->second.waiting.remove(&request);
    }
}

void RequestDispatcher::capacityChanged(const ServiceId &service)
{
    m_changed.insert(service);
    if (!m_isServeScheduled) {
        m_isServeScheduled = true;
        m_loop.later([this] {
            m_isServeScheduled = false;
            const std::set<ServiceId> changed = std::move(m_changed);
            m_changed.clear();
            for (const ServiceId &one : changed) {
                serve(serviceOf(one), 0, mostTriesOfChange);
            }
        });
    }
}

std::size_t RequestDispatcher::serve(const Service &service, std::size_t first, std::size_t mostTries)
{
    const Queue waiting = service.waiting;
    std::size_t tries = 0;
    std::size_t position = 0;
    for (const RefPointer<GatewayRequest> &request : waiting) {
        if (position++ < first) {
            continue;
        }
        const Choice choice = choose(*request);
        if (maySend(*request, choice)) {
            // Before it is sent, since an attempt that fails at once brings it back.
            cancel(*request);
            send(*request, choice);
        } else if (++tries >= mostTries) {
            return position;
        }
    }
    return 0;
}

void RequestDispatcher::refuseHopeless(const ServiceId &service)
{
    const TimePoint now = m_loop.now();
    const Queue waiting = serviceOf(service).waiting;
    for (const RefPointer<GatewayRequest> &request : waiting) {
        const Microseconds work = m_workTimes.warm(request->route());
        if (RequestQueueing::isHopeless(request->times(), work, now)) {
            cancel(*request);
            request->refuse(RefusalReason::NoCapacity, request->verdict(), "no slot in time", retryTime(*request));
        }
    }
}

void RequestDispatcher::serveAll()
{
    std::vector<ServiceId> services;
    for (const auto &[id, service] : m_services) {
        if (!service.waiting.empty()) {
            services.push_back(id);
        }
    }
    for (const ServiceId &service : services) {
        Service &waiting = serviceOf(service);
        waiting.nextTry = serve(waiting, waiting.nextTry, mostTriesOfTick);
        refuseHopeless(service);
    }
    if (waitingCount() > 0) {
        startTick();
    }
}

void RequestDispatcher::adjustShares()
{
    for (auto &[id, service] : m_services) {
        adjustSharesOf(id, service);
    }
    m_shareTimer.start(Deadline::after(m_loop.now(), shareInterval));
}

void RequestDispatcher::adjustSharesOf(const ServiceId &id, Service &service)
{
    const TimePoint now = m_loop.now();
    std::map<RegionId, RegionState> regions;
    for (const RegionTargets &region : m_targets.regionsOf(id)) {
        for (const RefPointer<GatewayTarget> &target : region.targets) {
            if (m_targets.takesWork(*target) && !target->failures().isOut()) {
                regions[region.region].slots += target->load().slots() * (target->isCold(now) ? coldSlots : 1);
            }
        }
    }
    const std::map<RegionId, double> demand =
        m_demandSource != nullptr ? m_demandSource->demandFor(id) : std::map<RegionId, double>();
    for (auto &[region, state] : regions) {
        const auto known = demand.find(region);
        state.demand = known != demand.end() ? known->second : 0;
    }
    service.shares.adjust(regions, now);
}

void RequestDispatcher::noteAnswer(const GatewayRequest &request, RequestAttempt &attempt)
{
    GatewayTarget &target = attempt.target();
    const AttemptForecast &forecast = attempt.forecast();
    const Microseconds time = attempt.answeredAt() - attempt.startedAt() - forecast.roundTrip;
    if (forecast.hasFreeSlot && !forecast.isCold) {
        noteWork(request, target, forecast.warmth, time);
    }
    if (!request.caller().object.empty()) {
        target.warmObjects().note(objectKey(request), m_loop.now());
    }
}

void RequestDispatcher::noteWork(const GatewayRequest &request, GatewayTarget &target, Warmth warmth, Microseconds time)
{
    const Route &route = request.route();
    const bool wasWarm = m_workTimes.note(route, warmth, time);
    // An answer that takes as long as work without the object, from a target that surely has it, shows a slow target.
    const bool isSure = wasWarm || m_workTimes.warmShare(route, warmth) >= sureShare;
    const Microseconds usual = isSure ? m_workTimes.warm(route) : m_workTimes.cold(route);
    target.quality().noteAnswer(time, usual, m_loop.now());
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

std::map<ServiceId, double> RequestDispatcher::demand()
{
    std::map<ServiceId, double> demand;
    for (auto &[id, service] : m_services) {
        demand[id] = service.demand.perSecond(m_loop.now());
    }
    return demand;
}

std::size_t RequestDispatcher::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[id, service] : m_services) {
        count += service.waiting.size();
    }
    return count;
}

} // namespace Sapphire
