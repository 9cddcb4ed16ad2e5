#pragma once

#include <LibCore/ManualClock.h>
#include <LibCore/RandomSource.h>
#include <LibLimit/AllotmentReconciler.h>

#include <Fakes/FakeTableService.h>

#include <functional>
#include <list>
#include <memory>
#include <queue>

namespace Sapphire::LimitTest {

/// Which faults a run injects.
struct Faults
{
    bool kills { true };
    bool restartLoops { true };
    bool freezes { true };
    bool partitions { true };
    bool outages { true };
    bool lostAnswers { true };
    bool rateChanges { true };
    double messageLoss { 0.02 };
};

struct CustomerResult
{
    int requests { 0 };
    int admitted { 0 };
    int refused { 0 };
    /// The largest number of admissions above rate × window + burst over all windows; at most 0 if the limit held.
    double worstExcess { -1e9 };
    /// The largest sum, at any admission, of the shares of VMs that may admit requests.
    Share mostShares {};
    std::uint64_t loanCalls { 0 };
};

/// Simulates a fleet of limiters on one thread. Messages, table calls and faults are events in simulated time.
class LimitSimulation
{
public:
    LimitSimulation(std::uint64_t seed, LimitSettings settings, Faults faults);
    ~LimitSimulation();
    /// Counts requests and refusals only after the warm-up. Earlier admissions only count in the windows.
    void run(Milliseconds length, Milliseconds warmUp);

    /// Customers: "looks-up" sends to home VMs and "sprays" to all VMs, both within their rates; "greedy" sends five
    /// times its rate on average, to all VMs.
    std::map<CustomerId, CustomerResult> results;
    int tableWrites() const;

private:
    class Process;
    class ProcessTables;
    class SharedRoster;
    struct Caller;
    struct Ledger;
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(TimePoint time, std::function<void()> action);
    void after(double seconds, std::function<void()> action);
    TimePoint now() const;
    double uniform(double least, double most);
    bool randomBool(double probability);

    void startProcess(std::size_t vm);
    void poll(std::size_t vm, std::uint64_t generation);
    void tick(std::size_t vm, std::uint64_t generation);
    void scheduleFaults();
    std::size_t chooseVictim();
    void kill(std::size_t vm, double downSeconds);
    void freeze(std::size_t vm, double seconds);
    void partition(int region, double seconds);
    void retireIfStillAway(std::size_t vm, std::uint64_t generation);
    void changeRate(const CustomerId &customer, double factor);

    void scheduleArrivals(Caller &caller);
    void arrive(Caller &caller);
    std::size_t chooseVm(Caller &caller);
    struct Request;
    void drive(std::size_t vm, const std::shared_ptr<Request> &request);
    void callLender(std::size_t vm, const std::shared_ptr<Request> &request, const AdmissionStep &step);
    void endCall(std::size_t vm, const std::shared_ptr<Request> &request, std::uint64_t call, const AdmissionStep &step,
                 const Outcome<Loan> &answer);
    Share usableShares(const CustomerId &customer) const;
    void finish(const std::shared_ptr<Request> &request, const Admission &admission);
    void wake(std::size_t vm, const std::shared_ptr<Request> &request);
    bool canReach(std::size_t from, std::size_t to) const;
    double delay(std::size_t from, std::size_t to);

    struct Vm;
    std::vector<Vm> m_vms;
    ManualClock m_clock;
    RandomSource m_random;
    LimitSettings m_settings;
    Faults m_faults;
    FakeTableService m_tables;
    Configuration m_latestConfiguration;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order { 0 };
    std::uint64_t m_generation { 0 };
    TimePoint m_end {};
    TimePoint m_measureFrom {};
    std::list<Caller> m_callers;
    std::map<CustomerId, Ledger> m_ledgers;
    std::unique_ptr<SharedRoster> m_roster;
};

} // namespace Sapphire::LimitTest
