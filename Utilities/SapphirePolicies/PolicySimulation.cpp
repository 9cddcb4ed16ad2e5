#include <SapphirePolicies/PolicySimulation.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace Sapphire {

namespace {

constexpr TimePoint startTime { Milliseconds(1'000'000) };
constexpr Milliseconds waitingCheckInterval { 20 };
constexpr int mostAttempts = 2;
constexpr int mostCallerRetries = 2;
constexpr double leastWork = 0.2;
constexpr double twoPi = 6.283185307179586;

} // namespace

PolicySimulation::PolicySimulation(const PolicyScenario &scenario, const ComparedPolicy &policy)
    : m_scenario(scenario), m_policy(policy), m_random(scenario.seed), m_now(startTime)
{
    const auto targets = static_cast<std::size_t>(scenario.targets);
    const auto vms = static_cast<std::size_t>(scenario.vms);
    m_targets.assign(targets, PolicyTarget(scenario));
    m_views.assign(vms, std::vector<View>(targets, View { TargetLoad(scenario.slots), RecentObjects() }));
    m_waiting.resize(vms);
    m_isCheckScheduled.resize(vms);
    m_outcome.requestsByZone.resize(static_cast<std::size_t>(scenario.zones));
    m_outcome.onTimeByZone.resize(static_cast<std::size_t>(scenario.zones));
}

void PolicySimulation::at(TimePoint time, std::function<void()> action)
{
    m_events.push({ time, m_sequence++, std::move(action) });
}

std::size_t PolicySimulation::zoneOf(std::size_t vm) const
{
    return vm % static_cast<std::size_t>(m_scenario.zones);
}

Microseconds PolicySimulation::roundTrip(std::size_t vm, std::size_t target) const
{
    return zoneOf(vm) == zoneOf(target) ? m_scenario.roundTripInZone : m_scenario.roundTripBetweenZones;
}

Microseconds PolicySimulation::drawWork(bool isWarm)
{
    const double normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(twoPi * m_random.unit());
    const double factor = std::max(leastWork, 1 + m_scenario.workDeviation * normal);
    return scaled(m_scenario.work, factor * (isWarm ? m_scenario.warmWorkFactor : 1));
}

void PolicySimulation::scheduleArrivals()
{
    const double workSeconds = std::chrono::duration<double>(m_scenario.work).count();
    const double perSecond = m_scenario.load * m_scenario.targets * m_scenario.slots / workSeconds;
    const auto zones = static_cast<std::uint64_t>(m_scenario.zones);
    const auto vmsPerZone = static_cast<std::uint64_t>(m_scenario.vms) / zones;
    for (double seconds = 0; Microseconds(static_cast<std::int64_t>(seconds * 1e6)) < m_scenario.duration;) {
        seconds += -std::log(1 - m_random.unit()) / perSecond;
        const TimePoint time = startTime + Microseconds(static_cast<std::int64_t>(seconds * 1e6));
        const std::uint64_t zone = m_random.unit() < m_scenario.firstZoneFraction ? 0 : m_random.below(zones);
        const std::size_t vm = zone + zones * m_random.below(vmsPerZone);
        const std::uint64_t object = m_random.below(m_scenario.objects);
        at(time, [this, vm, object] {
            ++m_outcome.requests;
            ++m_outcome.requestsByZone[zoneOf(vm)];
            place(addRequest(vm, object, m_now, Deadline::after(m_now, m_scenario.callerDeadline), 0));
        });
    }
}

std::size_t PolicySimulation::addRequest(std::size_t vm, std::uint64_t object, TimePoint arrivedAt,
                                         Deadline callerDeadline, int callerRetries)
{
    Request request;
    request.vm = vm;
    request.object = object;
    request.callerRetries = callerRetries;
    const Deadline giveUpAt = Deadline::after(arrivedAt, m_scenario.timeout).earlier(callerDeadline);
    request.times = { arrivedAt, Deadline::after(arrivedAt, m_scenario.targetLatency), giveUpAt, callerDeadline,
                      m_scenario.timeout };
    const std::size_t index = m_requests.size();
    m_requests.push_back(request);
    at(giveUpAt.at(), [this, index] {
        giveUp(index);
    });
    return index;
}

std::vector<PlacementOption> PolicySimulation::optionsOf(const Request &request) const
{
    std::vector<PlacementOption> options;
    const std::uint64_t key = stableHash(std::to_string(request.object));
    for (std::size_t target = 0; target < m_targets.size(); ++target) {
        const View &view = m_views[request.vm][target];
        const bool isWarm = view.recentObjects.lastHandled(request.object) != TimePoint {};
        PlacementOption option;
        option.rank = rendezvousRank(key, stableHash("t" + std::to_string(target)));
        option.load = view.load.expected(m_now);
        option.slots = m_scenario.slots;
        option.isShedding = view.load.isShedding(m_now);
        option.roundTrip = roundTrip(request.vm, target);
        option.work = scaled(m_scenario.work, isWarm ? m_scenario.warmWorkFactor : 1);
        option.meanWork = scaled(m_scenario.work, m_scenario.warmWorkFactor);
        options.push_back(option);
    }
    // All VMs prefer the same target for an object, so it may have handled the object for another VM.
    const auto preferred =
        std::max_element(options.begin(), options.end(), [](const PlacementOption &left, const PlacementOption &right) {
            return left.rank < right.rank;
        });
    preferred->work = preferred->meanWork;
    return options;
}

void PolicySimulation::place(std::size_t requestIndex)
{
    Request &request = m_requests[requestIndex];
    const std::vector<PlacementOption> options = optionsOf(request);
    const std::optional<PlacementChoice> choice = m_policy.placement->choose(options);
    if (!m_policy.isQueueing) {
        choice ? send(requestIndex, choice->position) : refuse(requestIndex);
        return;
    }
    const bool mustStopWaiting =
        RequestQueueing::mustStopWaiting(request.times, scaled(m_scenario.work, m_scenario.warmWorkFactor), m_now);
    if (mustStopWaiting) {
        refuse(requestIndex);
        return;
    }
    if (choice) {
        const AnswerForecast forecast { choice->time, choice->hasFreeSlot, true };
        if (RequestQueueing::isUnmeetable(request.times, forecast, m_now)) {
            refuse(requestIndex);
            return;
        }
        if (RequestQueueing::maySend(request.times, forecast, m_now)) {
            send(requestIndex, choice->position);
            return;
        }
    }
    m_waiting[request.vm].push_back(requestIndex);
    scheduleCheck(request.vm);
}

void PolicySimulation::scheduleCheck(std::size_t vm)
{
    if (std::exchange(m_isCheckScheduled[vm], 1) != 0) {
        return;
    }
    at(m_now + waitingCheckInterval, [this, vm] {
        m_isCheckScheduled[vm] = 0;
        retryWaiting(vm);
    });
}

void PolicySimulation::retryWaiting(std::size_t vm)
{
    for (const std::size_t requestIndex : std::exchange(m_waiting[vm], {})) {
        if (m_requests[requestIndex].state == State::AtVm) {
            place(requestIndex);
        }
    }
}

void PolicySimulation::send(std::size_t requestIndex, std::size_t target)
{
    Request &request = m_requests[requestIndex];
    request.state = State::AtTarget;
    request.target = target;
    request.isRunning = false;
    ++request.attempts;
    m_views[request.vm][target].load.noteSent();
    at(m_now + roundTrip(request.vm, target) / 2, [this, requestIndex] {
        arrive(requestIndex);
    });
}

void PolicySimulation::arrive(std::size_t requestIndex)
{
    if (m_requests[requestIndex].state != State::AtTarget) {
        return;
    }
    switch (m_targets[m_requests[requestIndex].target].arrive(requestIndex)) {
    case PolicyTarget::Arrival::Runs:
        start(requestIndex);
        break;
    case PolicyTarget::Arrival::Waits:
        break;
    case PolicyTarget::Arrival::Shed:
        ++m_outcome.sheds;
        at(m_now + roundTrip(m_requests[requestIndex].vm, m_requests[requestIndex].target) / 2, [this, requestIndex] {
            receiveShed(requestIndex);
        });
        break;
    }
}

void PolicySimulation::start(std::size_t requestIndex)
{
    Request &request = m_requests[requestIndex];
    request.isRunning = true;
    at(m_now + drawWork(m_targets[request.target].isWarm(request.object)), [this, requestIndex] {
        finish(requestIndex);
    });
}

void PolicySimulation::finish(std::size_t requestIndex)
{
    Request &request = m_requests[requestIndex];
    if (!request.isRunning) {
        return;
    }
    request.isRunning = false;
    PolicyTarget &target = m_targets[request.target];
    target.noteHandled(request.object, m_now);
    if (const std::optional<std::size_t> next = target.release()) {
        start(*next);
    }
    at(m_now + roundTrip(request.vm, request.target) / 2, [this, requestIndex, report = target.report()] {
        receiveAnswer(requestIndex, report);
    });
}

void PolicySimulation::receiveAnswer(std::size_t requestIndex, const LoadReport &report)
{
    Request &request = m_requests[requestIndex];
    View &view = m_views[request.vm][request.target];
    view.recentObjects.note(request.object, m_now);
    if (request.state == State::Ended) {
        return;
    }
    request.state = State::Ended;
    view.load.noteEnded();
    view.load.noteReport(report, m_now);
    const bool isOnTime = !request.times.wantedBy.hasPassed(m_now) && request.callerRetries == 0;
    m_outcome.onTime += isOnTime ? 1 : 0;
    m_outcome.late += isOnTime ? 0 : 1;
    m_outcome.onTimeByZone[zoneOf(request.vm)] += isOnTime ? 1 : 0;
    m_outcome.times.push_back(m_now - request.times.arrivedAt);
    retryWaiting(request.vm);
}

void PolicySimulation::receiveShed(std::size_t requestIndex)
{
    Request &request = m_requests[requestIndex];
    if (request.state == State::Ended) {
        return;
    }
    View &view = m_views[request.vm][request.target];
    view.load.noteEnded();
    view.load.noteShed(m_now);
    request.state = State::AtVm;
    request.attempts < mostAttempts ? place(requestIndex) : refuse(requestIndex);
}

void PolicySimulation::refuse(std::size_t requestIndex)
{
    Request &request = m_requests[requestIndex];
    request.state = State::Ended;
    ++m_outcome.refusals;
    const Deadline retryTime = RequestQueueing::retryAt(request.times, m_random.unit(), m_now);
    if (request.callerRetries == mostCallerRetries || request.times.callerDeadline.hasPassed(retryTime.at())) {
        ++m_outcome.refused;
        return;
    }
    at(retryTime.at(), [this, requestIndex] {
        const Request again = m_requests[requestIndex];
        place(addRequest(again.vm, again.object, m_now, again.times.callerDeadline, again.callerRetries + 1));
    });
}

void PolicySimulation::giveUp(std::size_t requestIndex)
{
    Request &request = m_requests[requestIndex];
    if (request.state == State::Ended) {
        return;
    }
    if (request.state == State::AtTarget) {
        PolicyTarget &target = m_targets[request.target];
        m_views[request.vm][request.target].load.noteEnded();
        const bool wasRunning = std::exchange(request.isRunning, false);
        if (!target.cancelWaiting(requestIndex) && wasRunning) {
            if (const std::optional<std::size_t> next = target.release()) {
                start(*next);
            }
        }
    }
    request.state = State::Ended;
    ++m_outcome.failed;
}

PolicyOutcome PolicySimulation::run()
{
    scheduleArrivals();
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    return m_outcome;
}

} // namespace Sapphire
