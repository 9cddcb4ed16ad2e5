#pragma once

#include <LibCore/RandomSource.h>
#include <LibSteering/RequestQueueing.h>
#include <SapphirePolicies/ComparedPolicies.h>
#include <SapphirePolicies/PolicyOutcome.h>
#include <SapphirePolicies/PolicyTarget.h>

#include <functional>
#include <queue>
#include <vector>

namespace Sapphire {

/// Runs one scenario with one policy in simulated time. As in the gateway, each VM knows of a target only what its own
/// requests and their answers show.
class PolicySimulation
{
public:
    PolicySimulation(const PolicyScenario &scenario, const ComparedPolicy &policy);

    PolicyOutcome run();

private:
    enum class State {
        AtVm, ///< Waiting at the VM or not placed yet.
        AtTarget,
        Ended,
    };
    struct Request
    {
        std::size_t vm { 0 };
        std::uint64_t object { 0 };
        RequestTimes times {};
        State state { State::AtVm };
        std::size_t target { 0 };
        bool isRunning { false };
        int attempts { 0 }; ///< Number of targets it was sent to.
        int callerRetries { 0 }; ///< How often the caller had retried when it sent this request.
    };
    struct Event
    {
        TimePoint at {};
        std::uint64_t sequence { 0 };
        std::function<void()> action {};

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    /// What a VM knows of a target.
    struct View
    {
        TargetLoad load;
        RecentObjects recentObjects;
    };

    void at(TimePoint time, std::function<void()> action);
    void scheduleArrivals();
    std::size_t addRequest(std::size_t vm, std::uint64_t object, TimePoint arrivedAt, Deadline callerDeadline,
                           int callerRetries);
    void place(std::size_t requestIndex);
    void send(std::size_t requestIndex, std::size_t target);
    void arrive(std::size_t requestIndex);
    void start(std::size_t requestIndex);
    void finish(std::size_t requestIndex);
    void receiveAnswer(std::size_t requestIndex, const LoadReport &report);
    void receiveShed(std::size_t requestIndex);
    void refuse(std::size_t requestIndex);
    void giveUp(std::size_t requestIndex);
    void retryWaiting(std::size_t vm);
    void scheduleCheck(std::size_t vm);

    std::vector<PlacementOption> optionsOf(const Request &request) const;
    Microseconds roundTrip(std::size_t vm, std::size_t target) const;
    std::size_t zoneOf(std::size_t vm) const;
    Microseconds drawWork(bool isWarm);

    PolicyScenario m_scenario;
    const ComparedPolicy &m_policy;
    RandomSource m_random;
    TimePoint m_now {};
    std::uint64_t m_sequence { 0 };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Request> m_requests;
    std::vector<PolicyTarget> m_targets;
    std::vector<std::vector<View>> m_views; ///< By VM and target.
    std::vector<std::vector<std::size_t>> m_waiting; ///< By VM, in the order of arrival.
    std::vector<char> m_isCheckScheduled; ///< By VM: whether a retry of the waiting requests is scheduled.
    PolicyOutcome m_outcome;
};

} // namespace Sapphire
