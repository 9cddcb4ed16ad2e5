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

/// Plays one scenario with one policy in simulated time. Each VM knows of a target what its own requests and the
/// answers to them tell, as in the product.
class PolicySimulation
{
public:
    PolicySimulation(const PolicyScenario &scenario, const ComparedPolicy &policy);

    PolicyOutcome run();

private:
    enum class State {
        AtVm, ///< It waits at the VM, or is not placed yet.
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
        int tries { 0 }; ///< At targets.
        int number { 0 }; ///< Of callers' attempts before this one.
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
        RecentObjects warm;
    };

    void at(TimePoint time, std::function<void()> action);
    void scheduleArrivals();
    std::size_t addRequest(std::size_t vm, std::uint64_t object, TimePoint arrivedAt, Deadline callerDeadline,
                           int number);
    void place(std::size_t number);
    void send(std::size_t number, std::size_t target);
    void arrive(std::size_t number);
    void start(std::size_t number);
    void finish(std::size_t number);
    void answered(std::size_t number, const LoadReport &report);
    void shed(std::size_t number);
    void refuse(std::size_t number);
    void giveUp(std::size_t number);
    void serveWaiting(std::size_t vm);
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
    std::vector<char> m_hasCheck; ///< By VM: whether a time is set at which the waiting requests are tried again.
    PolicyOutcome m_outcome;
};

} // namespace Sapphire
