#pragma once

#include <LibCore/ManualClock.h>
#include <LibPeer/LoanBroker.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

/// Simulates VMs that share one customer's quota over a network with delays, in simulated time.
class QuotaSimulation
{
public:
    struct Setup
    {
        int regions { 3 };
        int vmsPerRegion { 5 };
        Milliseconds delayInRegion { 2 };
        Milliseconds delayBetweenRegions { 55 };
        CustomerRules customer;
        QuotaSettings quota { Milliseconds(5'000), 0.1, 20 };
        std::uint64_t seed { 1 };
    };

    explicit QuotaSimulation(const Setup &setup);
    ~QuotaSimulation();

    /// Sends requests at the given rate, each to a random VM of the region that the function returns.
    void run(Milliseconds time, double requestsPerSecond, const std::function<int(RandomSource &)> &chooseRegion);
    /// Drops all datagrams from and to the VM until reconnect().
    void isolate(std::size_t vm);
    void reconnect(std::size_t vm);
    /// Restarts the VM's process.
    void restart(std::size_t vm);

    std::size_t admitted() const
    {
        return m_admissions.size();
    }
    std::size_t refused() const
    {
        return m_refused;
    }
    /// Returns the largest number of requests admitted in any window of the given length.
    std::size_t mostInWindow(Milliseconds window) const;

private:
    struct Vm;
    struct Event
    {
        TimePoint at;
        std::function<void()> action;
    };

    void createProcess(std::size_t vm);
    void send(std::size_t from, const VmId &to, std::function<void(Vm &)> action);
    void arrive(std::size_t vm);
    void serveWaiting(Vm &vm);
    void exchangePresence();
    void advanceTo(TimePoint time);
    std::size_t indexOf(const VmId &vm) const;

    Setup m_setup;
    RandomSource m_random;
    TimePoint m_now { Milliseconds(1'000'000) };
    RefPointer<const ServingRules> m_rules;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<TimePoint> m_admissions;
    std::size_t m_refused { 0 };
    Deadline m_nextPresence;
};

} // namespace Sapphire
