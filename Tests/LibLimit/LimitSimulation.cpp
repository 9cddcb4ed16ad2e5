#include "LimitSimulation.h"

#include <LibCore/EventLog.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Sapphire::LimitTest {

namespace {

constexpr int regionCount = 3;
constexpr std::size_t vmCount = 20;
constexpr double freshSeconds = 4;
constexpr double secondsUntilExcluded = 5;
constexpr Milliseconds startUp { 5'000 };
constexpr Milliseconds floodTime { 3'000 };
constexpr double requestSeconds = 0.6;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

Microseconds fromSeconds(double interval)
{
    return Microseconds(static_cast<Microseconds::rep>(interval * 1e6));
}

} // namespace

/// Checks every window of a customer's admissions with a token bucket that has exactly the customer's rate and burst
/// and starts full: it runs short at an admission if and only if some window that ends there exceeds rate × window +
/// burst.
struct LimitSimulation::Ledger
{
    struct Limit
    {
        TimePoint since;
        double rate;
        double burst;
    };

    // After a change of the limit, it takes this long until every VM knows it and earlier loans have ended.
    static constexpr double propagationSeconds = 6;

    std::vector<Limit> limits {};
    double level { 0 };
    TimePoint levelAt {};

    Limit largest(TimePoint time) const
    {
        Limit limit = limits.back();
        for (std::size_t i = 0; i + 1 < limits.size(); ++i) {
            if (secondsBetween(limits[i + 1].since, time) < propagationSeconds) {
                limit.rate = std::max(limit.rate, limits[i].rate);
                limit.burst = std::max(limit.burst, limits[i].burst);
            }
        }
        return limit;
    }

    double take(TimePoint time)
    {
        const Limit limit = largest(time);
        level = std::min(limit.burst, level + limit.rate * secondsBetween(levelAt, time)) - 1;
        levelAt = time;
        return -level;
    }
};

struct LimitSimulation::Caller
{
    CustomerId customer;
    double requestsPerSecond { 0 };
    bool looksUp { false };
    bool keepsLimit { true };
    int region { 0 };
    double level { 0 };
    TimePoint levelAt {};
    int remainingBurst { 0 };
};

struct LimitSimulation::Request
{
    AdmissionAttempt attempt;
    std::uint64_t generation { 0 };
    bool isCalling { false };
    std::uint64_t call { 0 }; ///< Number of the latest call, so that each call ends only once.
};

/// The TableService of one VM. It fails while the VM is partitioned, and some writes take effect late and get no
/// answer.
class LimitSimulation::ProcessTables final : public TableService
{
public:
    ProcessTables(LimitSimulation &simulation, std::size_t vm) : m_simulation(simulation), m_vm(vm)
    {
    }

    Result<Row> read(const TableName &table, const std::string &key, Deadline deadline) override;
    Result<std::vector<Row>> list(const TableName &, const std::string &, std::size_t, Deadline) override
    {
        return fail(ErrorCode::Unavailable, "not simulated");
    }
    Result<RowTag> insert(const TableName &table, const std::string &key, const std::string &value,
                          Deadline deadline) override;
    Result<RowTag> replace(const TableName &table, const std::string &key, const std::string &value, const RowTag &tag,
                           Deadline deadline) override;
    Result<void> remove(const TableName &, const std::string &, const RowTag &, Deadline) override
    {
        return fail(ErrorCode::Unavailable, "not simulated");
    }

private:
    Result<void> checkConnected() const;
    bool isDelayed();

    LimitSimulation &m_simulation;
    std::size_t m_vm;
};

/// One process with its copy of the configuration.
class LimitSimulation::Process final : public ConfigurationSource, public LoanClient
{
public:
    Process(LimitSimulation &simulation, std::size_t vm, std::uint64_t generation);

    std::shared_ptr<const Configuration> configuration() const override
    {
        return copy;
    }
    bool isFresh(TimePoint time) const override
    {
        return !isAwaitingContact && secondsBetween(contactAt, time) < freshSeconds;
    }
    bool isWithdrawn(const KeyId &) const override
    {
        return false;
    }
    InForceStatus inForceStatus(ConfigurationVersion version, TimePoint time) const override;
    Result<Loan> borrow(const VmId &, const CustomerId &, Tokens, Deadline) override
    {
        return fail(ErrorCode::Internal, "the simulation handles loans itself");
    }

    LimitSimulation &simulation;
    std::shared_ptr<const Configuration> copy;
    TimePoint contactAt;
    bool isAwaitingContact { false };
    ProcessTables tables;
    CustomerLimiter limiter;
    AllotmentReconciler reconciler;
    std::list<std::shared_ptr<Request>> waiting {};
    std::vector<std::function<void()>> deferred {};
};

struct LimitSimulation::Vm
{
    VmId id;
    int region { 0 };
    std::unique_ptr<Process> process {};
    std::uint64_t generation { 0 };
    Incarnation incarnation {};
    bool isFrozen { false };
    bool isPartitioned { false };
    bool isListed { true };
    TimePoint awaySince {};

    bool isAway() const
    {
        return !process || isFrozen || isPartitioned;
    }
};

class LimitSimulation::SharedRoster final : public Roster
{
public:
    explicit SharedRoster(LimitSimulation &simulation) : m_simulation(simulation)
    {
    }
    std::vector<RosterVm> vms(TimePoint time) const override
    {
        std::vector<RosterVm> vms;
        for (const Vm &vm : m_simulation.m_vms) {
            RosterVm entry;
            entry.process = { vm.id, vm.incarnation };
            entry.locality.region = RegionId("region-" + std::to_string(vm.region));
            entry.isSuspect = vm.isAway() && secondsBetween(vm.awaySince, time) > 3;
            if (vm.isListed || !vm.isAway()) {
                vms.push_back(entry);
            }
        }
        return vms;
    }
    std::set<VmId> listedVms() const override
    {
        std::set<VmId> listed;
        for (const Vm &vm : m_simulation.m_vms) {
            if (vm.isListed) {
                listed.insert(vm.id);
            }
        }
        return listed;
    }

private:
    LimitSimulation &m_simulation;
};

Result<void> LimitSimulation::ProcessTables::checkConnected() const
{
    if (m_simulation.m_vms[m_vm].isPartitioned) {
        return fail(ErrorCode::Unavailable, "the VM is partitioned");
    }
    return {};
}

bool LimitSimulation::ProcessTables::isDelayed()
{
    return m_simulation.m_faults.lostAnswers && m_simulation.randomBool(0.1);
}

Result<Row> LimitSimulation::ProcessTables::read(const TableName &table, const std::string &key, Deadline deadline)
{
    BOOST_LEAF_CHECK(checkConnected());
    return m_simulation.m_tables.read(table, key, deadline);
}

Result<RowTag> LimitSimulation::ProcessTables::insert(const TableName &table, const std::string &key,
                                                      const std::string &value, Deadline deadline)
{
    BOOST_LEAF_CHECK(checkConnected());
    return m_simulation.m_tables.insert(table, key, value, deadline);
}

Result<RowTag> LimitSimulation::ProcessTables::replace(const TableName &table, const std::string &key,
                                                       const std::string &value, const RowTag &tag, Deadline deadline)
{
    BOOST_LEAF_CHECK(checkConnected());
    if (isDelayed()) {
        m_simulation.after(m_simulation.uniform(0, 6), [simulation = &m_simulation, table, key, value, tag, deadline] {
            static_cast<void>(capture([&] {
                return simulation->m_tables.replace(table, key, value, tag, deadline);
            }));
        });
        return fail(ErrorCode::Timeout, "no answer yet", Verdict::MayHaveRun);
    }
    return m_simulation.m_tables.replace(table, key, value, tag, deadline);
}

LimitSimulation::Process::Process(LimitSimulation &owner, std::size_t vm, std::uint64_t)
    : simulation(owner)
    , copy(std::make_shared<Configuration>(owner.m_latestConfiguration))
    , contactAt(owner.now())
    , tables(owner, vm)
    , limiter({ owner.m_vms[vm].id, owner.m_vms[vm].incarnation },
              Locality { RegionId("region-" + std::to_string(owner.m_vms[vm].region)), AvailabilityZoneId("zone") },
              owner.m_clock, *this, *owner.m_roster, *this, owner.m_settings)
    , reconciler(limiter, tables, owner.m_clock, *this, owner.m_settings)
{
}

InForceStatus LimitSimulation::Process::inForceStatus(ConfigurationVersion version, TimePoint time) const
{
    InForceStatus status;
    for (const Vm &vm : simulation.m_vms) {
        const bool isConfirmed = vm.process && vm.process->copy->version >= version;
        const bool isExcluded =
            vm.isAway() && (!vm.process || secondsBetween(vm.awaySince, time) > secondsUntilExcluded);
        if (!isConfirmed && !isExcluded) {
            status.unconfirmed.push_back(vm.id);
        }
    }
    status.isInForce = status.unconfirmed.empty();
    return status;
}

LimitSimulation::LimitSimulation(std::uint64_t seed, LimitSettings settings, Faults faults)
    : m_random(seed), m_settings(settings), m_faults(faults), m_roster(std::make_unique<SharedRoster>(*this))
{
    configureEventLog({ .file = "", .least = Severity::Error });
    m_latestConfiguration.version = ConfigurationVersion(1);
    const std::array<double, 4> rates { 5, 10, 20, 40 };
    const std::array<double, 4> burstSeconds { 0.3, 1, 2, 3 };
    for (const char *name : { "looks-up", "sprays", "greedy" }) {
        const double rate = rates.at(m_random.below(4));
        // With a small burst, an excess is not hidden by unused tokens.
        const bool isGreedy = std::string(name) == "greedy";
        const double burst = std::max(2.0, rate * (isGreedy ? 0.3 : burstSeconds.at(m_random.below(4))));
        const CustomerRecord record { CustomerId(name), rate, burst, {} };
        m_latestConfiguration.customers[record.id] = record;
        m_ledgers[record.id] = { { { now(), record.ratePerSecond, record.burst } }, record.burst, now() };
        Caller caller { record.id };
        caller.looksUp = record.id.text() == "looks-up";
        caller.keepsLimit = record.id.text() != "greedy";
        caller.requestsPerSecond = record.ratePerSecond * (caller.keepsLimit ? 0.5 : 10);
        caller.region = static_cast<int>(m_random.below(regionCount));
        m_callers.push_back(caller);
    }
    m_vms.resize(vmCount);
    for (std::size_t i = 0; i < vmCount; ++i) {
        m_vms[i].id = VmId("vm-" + std::to_string(i));
        m_vms[i].region = static_cast<int>(i % regionCount);
        startProcess(i);
    }
}

LimitSimulation::~LimitSimulation() = default;

TimePoint LimitSimulation::now() const
{
    return m_clock.now();
}

double LimitSimulation::uniform(double least, double most)
{
    return least + (most - least) * m_random.unit();
}

bool LimitSimulation::randomBool(double probability)
{
    return m_random.unit() < probability;
}

void LimitSimulation::at(TimePoint time, std::function<void()> action)
{
    m_events.push({ std::max(time, now()), ++m_order, std::move(action) });
}

void LimitSimulation::after(double seconds, std::function<void()> action)
{
    at(now() + fromSeconds(seconds), std::move(action));
}

void LimitSimulation::run(Milliseconds length, Milliseconds warmUp)
{
    m_end = now() + length;
    m_measureFrom = now() + warmUp;
    for (Caller &caller : m_callers) {
        // The fleet's buckets start empty; callers that keep their limits start counting then, too.
        caller.levelAt = now() + startUp;
        at(caller.levelAt, [this, &caller] {
            scheduleArrivals(caller);
        });
    }
    scheduleFaults();
    while (!m_events.empty() && m_events.top().at <= m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.advance(event.at - now());
        event.action();
    }
    for (const Vm &vm : m_vms) {
        if (vm.process) {
            for (const LimitSnapshot &snapshot : vm.process->limiter.snapshot(now())) {
                results[snapshot.customer].loanCalls += snapshot.loanCalls;
            }
        }
    }
}

int LimitSimulation::tableWrites() const
{
    return m_tables.writeCount();
}

void LimitSimulation::startProcess(std::size_t vm)
{
    m_vms[vm].incarnation = m_vms[vm].incarnation.next();
    m_vms[vm].generation = ++m_generation;
    m_vms[vm].isFrozen = false;
    m_vms[vm].isListed = true;
    m_vms[vm].process = std::make_unique<Process>(*this, vm, m_generation);
    m_vms[vm].process->isAwaitingContact = m_vms[vm].isPartitioned;
    const std::uint64_t generation = m_generation;
    after(uniform(0, 0.5), [this, vm, generation] {
        poll(vm, generation);
    });
    after(uniform(0, 0.3), [this, vm, generation] {
        tick(vm, generation);
    });
}

void LimitSimulation::poll(std::size_t vm, std::uint64_t generation)
{
    Vm &host = m_vms[vm];
    if (host.generation != generation || !host.process) {
        return;
    }
    if (!host.isFrozen && !host.isPartitioned) {
        Process &process = *host.process;
        process.copy = std::make_shared<Configuration>(m_latestConfiguration);
        process.contactAt = now();
        process.isAwaitingContact = false;
        host.isListed = true;
        if (process.copy->isRetired({ host.id, host.incarnation })) {
            host.incarnation = host.incarnation.next();
            process.limiter.changeIncarnation(host.incarnation, now());
        }
    }
    after(0.5, [this, vm, generation] {
        poll(vm, generation);
    });
}

void LimitSimulation::tick(std::size_t vm, std::uint64_t generation)
{
    Vm &host = m_vms[vm];
    if (host.generation != generation || !host.process) {
        return;
    }
    if (!host.isFrozen) {
        host.process->reconciler.tick(now());
    }
    after(1, [this, vm, generation] {
        tick(vm, generation);
    });
}

void LimitSimulation::scheduleFaults()
{
    const double length = secondsBetween(now(), m_end);
    const auto randomTime = [this, length] {
        return uniform(0.15, 0.9) * length;
    };
    for (int i = 0; m_faults.kills && i < 4; ++i) {
        after(randomTime(), [this] {
            kill(chooseVictim(), uniform(1, 15));
        });
    }
    for (int i = 0; m_faults.restartLoops && i < 4; ++i) {
        after(randomTime(), [this] {
            const std::size_t vm = chooseVictim();
            for (int j = 0; j < 4; ++j) {
                after(1.5 * j, [this, vm] {
                    kill(vm, 0.02);
                });
            }
        });
    }
    for (int i = 0; m_faults.freezes && i < 5; ++i) {
        after(randomTime(), [this] {
            freeze(chooseVictim(), uniform(0.2, 16));
        });
    }
    if (m_faults.partitions) {
        after(uniform(0.1, 0.4) * length, [this] {
            partition(m_vms[chooseVictim()].region, uniform(2, 20));
        });
    }
    if (m_faults.outages) {
        after(randomTime(), [this] {
            m_tables.setDown(true);
            after(uniform(1, 10), [this] {
                m_tables.setDown(false);
            });
        });
    }
    if (m_faults.lostAnswers) {
        after(randomTime(), [this] {
            m_tables.loseAnswers(5);
        });
    }
    for (const auto &[customer, record] : m_latestConfiguration.customers) {
        if (m_faults.rateChanges && randomBool(0.5)) {
            after(randomTime(), [this, customer = customer] {
                changeRate(customer, randomBool(0.5) ? 0.5 : 2);
            });
        }
    }
    for (Caller &caller : m_callers) {
        after(length / 2, [this, &caller] {
            caller.region = static_cast<int>(m_random.below(regionCount));
        });
    }
}

std::size_t LimitSimulation::chooseVictim()
{
    // Mostly choose VMs that hold a share, since faults of others reveal little.
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < vmCount; ++i) {
        if (m_vms[i].process && m_vms[i].process->limiter.share(CustomerId("greedy")).value() > 0) {
            holders.push_back(i);
        }
    }
    const bool isAnyVm = holders.empty() || randomBool(0.3);
    return isAnyVm ? m_random.below(vmCount) : holders[m_random.below(holders.size())];
}

void LimitSimulation::kill(std::size_t vm, double downSeconds)
{
    if (!m_vms[vm].process) {
        return;
    }
    m_vms[vm].process.reset();
    m_vms[vm].isFrozen = false;
    m_vms[vm].awaySince = now();
    const std::uint64_t generation = m_vms[vm].generation;
    after(uniform(0.5, 7), [this, vm, generation] {
        retireIfStillAway(vm, generation);
    });
    after(downSeconds, [this, vm] {
        startProcess(vm);
    });
}

void LimitSimulation::freeze(std::size_t vm, double seconds)
{
    if (m_vms[vm].isAway()) {
        return;
    }
    m_vms[vm].isFrozen = true;
    m_vms[vm].awaySince = now();
    const std::uint64_t generation = m_vms[vm].generation;
    after(uniform(0.5, 7), [this, vm, generation] {
        retireIfStillAway(vm, generation);
    });
    after(seconds, [this, vm, generation] {
        if (m_vms[vm].generation != generation || !m_vms[vm].process) {
            return;
        }
        m_vms[vm].isFrozen = false;
        m_vms[vm].process->isAwaitingContact = true;
        for (const std::function<void()> &action : std::exchange(m_vms[vm].process->deferred, {})) {
            action();
        }
    });
}

void LimitSimulation::partition(int region, double seconds)
{
    for (std::size_t i = 0; i < vmCount; ++i) {
        if (m_vms[i].region != region) {
            continue;
        }
        if (!m_vms[i].isAway()) {
            m_vms[i].awaySince = now();
        }
        m_vms[i].isPartitioned = true;
        const std::uint64_t generation = m_vms[i].generation;
        after(uniform(0.5, 7), [this, i, generation] {
            retireIfStillAway(i, generation);
        });
        after(seconds, [this, i] {
            m_vms[i].isPartitioned = false;
        });
    }
}

void LimitSimulation::retireIfStillAway(std::size_t vm, std::uint64_t generation)
{
    // The list may drop VMs that are still running.
    if (m_vms[vm].generation == generation && m_vms[vm].isAway()) {
        m_vms[vm].isListed = false;
        m_latestConfiguration.retired[m_vms[vm].id] = m_vms[vm].incarnation;
        m_latestConfiguration.version = m_latestConfiguration.version.next();
    }
}

void LimitSimulation::changeRate(const CustomerId &customer, double factor)
{
    CustomerRecord &record = m_latestConfiguration.customers[customer];
    record.ratePerSecond *= factor;
    record.burst = std::max(2.0, record.burst * factor);
    m_latestConfiguration.version = m_latestConfiguration.version.next();
    m_ledgers[customer].limits.push_back({ now(), record.ratePerSecond, record.burst });
    for (Caller &caller : m_callers) {
        if (caller.customer == customer) {
            caller.requestsPerSecond *= factor;
        }
    }
}

void LimitSimulation::scheduleArrivals(Caller &caller)
{
    const double burst = m_latestConfiguration.customers[caller.customer].burst;
    if (caller.remainingBurst == 0 && caller.keepsLimit && randomBool(0.8 / burst)) {
        caller.remainingBurst = static_cast<int>(burst / 2);
    }
    const bool isInBurst = caller.remainingBurst > 0;
    caller.remainingBurst -= isInBurst ? 1 : 0;
    const double pause = isInBurst ? 0.001 : -std::log(1 - m_random.unit()) / caller.requestsPerSecond;
    after(pause, [this, &caller] {
        // Floods after pauses, in which buckets fill up, come closest to the limit.
        const bool isQuiet = !caller.keepsLimit && (now() - m_measureFrom) / floodTime % 2 == 0;
        if (!isQuiet) {
            arrive(caller);
        }
        scheduleArrivals(caller);
    });
}

void LimitSimulation::arrive(Caller &caller)
{
    // A caller that keeps its limit sends at most 0.95 of rate and burst and skips requests above that.
    const CustomerRecord &record = m_latestConfiguration.customers[caller.customer];
    const double refill = 0.95 * record.ratePerSecond * secondsBetween(caller.levelAt, now());
    caller.level = std::min(0.95 * record.burst, caller.level + refill);
    caller.levelAt = now();
    if (caller.keepsLimit && caller.level < 1) {
        return;
    }
    caller.level -= 1;
    const std::size_t vm = chooseVm(caller);
    if (!m_vms[vm].process) {
        return;
    }
    auto request = std::make_shared<Request>();
    request->attempt = { caller.customer, Deadline::after(now(), fromSeconds(requestSeconds)) };
    request->generation = m_vms[vm].generation;
    drive(vm, request);
}

std::size_t LimitSimulation::chooseVm(Caller &caller)
{
    std::size_t vm = m_random.below(vmCount);
    if (!caller.looksUp) {
        return vm;
    }
    while (m_vms[vm].region != caller.region) {
        vm = (vm + 1) % vmCount;
    }
    if (!m_vms[vm].process) {
        return vm;
    }
    const std::vector<VmId> homes = m_vms[vm].process->limiter.homeVms(caller.customer);
    for (std::size_t i = 0; i < vmCount && !homes.empty(); ++i) {
        if (m_vms[i].id == homes.front()) {
            return i;
        }
    }
    return vm;
}

void LimitSimulation::drive(std::size_t vm, const std::shared_ptr<Request> &request)
{
    Vm &host = m_vms[vm];
    if (host.generation != request->generation || !host.process) {
        return;
    }
    if (host.isFrozen) {
        host.process->deferred.emplace_back([this, vm, request] {
            drive(vm, request);
        });
        return;
    }
    const AdmissionStep step = host.process->limiter.advance(request->attempt, now());
    if (step.kind == AdmissionStep::Kind::Finished) {
        finish(request, step.admission);
    } else if (step.kind == AdmissionStep::Kind::Borrow) {
        callLender(vm, request, step);
    } else {
        host.process->waiting.push_back(request);
        at(step.callDeadline.at(), [this, vm, request] {
            wake(vm, request);
        });
    }
}

void LimitSimulation::wake(std::size_t vm, const std::shared_ptr<Request> &request)
{
    if (m_vms[vm].generation == request->generation && m_vms[vm].process
        && m_vms[vm].process->waiting.remove(request) > 0) {
        drive(vm, request);
    }
}

bool LimitSimulation::canReach(std::size_t from, std::size_t to) const
{
    const bool isSameRegion = m_vms[from].region == m_vms[to].region;
    return isSameRegion || (!m_vms[from].isPartitioned && !m_vms[to].isPartitioned);
}

double LimitSimulation::delay(std::size_t from, std::size_t to)
{
    return m_vms[from].region == m_vms[to].region ? uniform(0.0003, 0.002) : uniform(0.01, 0.03);
}

void LimitSimulation::callLender(std::size_t vm, const std::shared_ptr<Request> &request, const AdmissionStep &step)
{
    const TimePoint sentAt = now();
    std::size_t lender = 0;
    while (m_vms[lender].id != step.lender) {
        ++lender;
    }
    request->isCalling = true;
    const std::uint64_t call = ++request->call;
    const auto fails = [this, vm, request, step, call] {
        endCall(vm, request, call, step, Error { ErrorCode::Timeout, "no answer" });
    };
    if (!canReach(vm, lender) || randomBool(m_faults.messageLoss)) {
        at(step.callDeadline.at(), fails);
        return;
    }
    after(delay(vm, lender), [this, vm, lender, request, step, sentAt, fails, call] {
        if (!m_vms[lender].process) {
            fails();
            return;
        }
        const auto lendNow = [this, vm, lender, request, step, sentAt, fails, call] {
            const VmIncarnation borrower { m_vms[vm].id, m_vms[vm].incarnation };
            Outcome<Loan> answer = capture([&] {
                return m_vms[lender].process->limiter.lend(request->attempt.customer, step.wanted, borrower, now());
            });
            const double back = delay(lender, vm);
            if (randomBool(m_faults.messageLoss) || now() + fromSeconds(back) > step.callDeadline.at()) {
                at(step.callDeadline.at(), fails);
                return;
            }
            if (answer) {
                answer.value().deadline = Deadline::after(sentAt, answer.value().deadline.remaining(now()));
            }
            after(back, [this, vm, request, step, answer, call] {
                endCall(vm, request, call, step, answer);
            });
        };
        if (m_vms[lender].isFrozen) {
            m_vms[lender].process->deferred.emplace_back(lendNow);
            return;
        }
        lendNow();
    });
    at(step.callDeadline.at() + Microseconds(1), fails);
}

void LimitSimulation::endCall(std::size_t vm, const std::shared_ptr<Request> &request, std::uint64_t call,
                              const AdmissionStep &step, const Outcome<Loan> &answer)
{
    Vm &host = m_vms[vm];
    if (host.generation != request->generation || !host.process) {
        return;
    }
    if (host.isFrozen) {
        host.process->deferred.emplace_back([this, vm, request, step, answer, call] {
            endCall(vm, request, call, step, answer);
        });
        return;
    }
    if (!request->isCalling || request->call != call) {
        return;
    }
    request->isCalling = false;
    host.process->limiter.finishBorrow(request->attempt, step, answer, now());
    drive(vm, request);
    for (const std::shared_ptr<Request> &waiting : std::exchange(host.process->waiting, {})) {
        drive(vm, waiting);
    }
}

Share LimitSimulation::usableShares(const CustomerId &customer) const
{
    Share sum;
    for (const Vm &vm : m_vms) {
        if (vm.process && !vm.isFrozen && vm.process->isFresh(now())) {
            sum = sum + vm.process->limiter.share(customer);
        }
    }
    return sum;
}

void LimitSimulation::finish(const std::shared_ptr<Request> &request, const Admission &admission)
{
    const CustomerId &customer = request->attempt.customer;
    if (admission.kind == Admission::Kind::NotFresh) {
        // The caller is redirected to another VM.
        return;
    }
    if (now() < m_measureFrom) {
        if (admission.isAdmitted()) {
            m_ledgers[customer].take(now());
        }
        return;
    }
    CustomerResult &result = results[customer];
    ++result.requests;
    if (!admission.isAdmitted()) {
        ++result.refused;
        return;
    }
    ++result.admitted;
    result.mostShares = std::max(result.mostShares, usableShares(customer));
    result.worstExcess = std::max(result.worstExcess, m_ledgers[customer].take(now()));
}

} // namespace Sapphire::LimitTest
