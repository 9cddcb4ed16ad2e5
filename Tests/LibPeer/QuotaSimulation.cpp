#include <LibPeer/QuotaSimulation.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace Sapphire {

namespace {

constexpr Milliseconds tick { 10 };
constexpr Milliseconds longestWait { 250 };
constexpr Milliseconds presenceInterval { 500 };

} // namespace

struct QuotaSimulation::Vm
{
    VmRecord record;
    std::unique_ptr<CustomerQuotas> quotas;
    std::unique_ptr<VmRoster> roster;
    std::unique_ptr<LoanBroker> broker;
    std::deque<TimePoint> waiting; ///< Until when each waiting request waits.
    bool isIsolated { false };
};

QuotaSimulation::QuotaSimulation(const Setup &setup) : m_setup(setup), m_random(setup.seed)
{
    ServingRules::Content content;
    content.version = ConfigurationVersion(1);
    content.customers.push_back(setup.customer);
    m_rules = RefPointer<const ServingRules>(new ServingRules(content));
    for (int region = 0; region < setup.regions; ++region) {
        for (int i = 0; i < setup.vmsPerRegion; ++i) {
            auto vm = std::make_unique<Vm>();
            vm->record.vm = VmId("vm-" + std::to_string(region) + "-" + std::to_string(i));
            vm->record.locality.region = RegionId("region-" + std::to_string(region));
            m_vms.push_back(std::move(vm));
        }
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        createProcess(i);
    }
    // Buckets start empty, so let them fill before the first request.
    advanceTo(m_now + Milliseconds(5'000));
}

QuotaSimulation::~QuotaSimulation() = default;

void QuotaSimulation::createProcess(std::size_t index)
{
    Vm &vm = *m_vms[index];
    std::vector<VmRecord> records;
    std::vector<RendezvousCandidate> candidates;
    for (const auto &other : m_vms) {
        records.push_back(other->record);
        candidates.push_back({ other->record.vm, other->record.locality.region });
    }
    vm.waiting.clear();
    vm.broker.reset();
    vm.quotas = std::make_unique<CustomerQuotas>(vm.record.vm, m_setup.quota);
    vm.quotas->applyRules(m_rules, m_now);
    vm.quotas->applyVms(VmsByRegion(candidates), m_now);
    vm.roster = std::make_unique<VmRoster>(vm.record.vm, vm.record.locality, VmRosterSettings {});
    vm.roster->applyRecords(records, m_now);
    vm.broker = std::make_unique<LoanBroker>(*vm.quotas, *vm.roster, vm.record.vm, vm.record.locality.region,
                                             [this, index](const VmRecord &lender, const LoanRequest &request) {
                                                 send(index, lender.vm, [this, index, request](Vm &other) {
                                                     const LoanReply reply = other.broker->answer(request, m_now);
                                                     const VmId lenderId = other.record.vm;
                                                     send(indexOf(lenderId), m_vms[index]->record.vm,
                                                          [this, lenderId, reply](Vm &borrower) {
                                                              borrower.broker->takeReply(lenderId, reply, m_now);
                                                              serveWaiting(borrower);
                                                          });
                                                 });
                                             });
}

std::size_t QuotaSimulation::indexOf(const VmId &vm) const
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (m_vms[i]->record.vm == vm) {
            return i;
        }
    }
    return 0;
}

void QuotaSimulation::send(std::size_t from, const VmId &to, std::function<void(Vm &)> action)
{
    const std::size_t index = indexOf(to);
    const bool isSameRegion = m_vms[from]->record.locality.region == m_vms[index]->record.locality.region;
    const Milliseconds delay = isSameRegion ? m_setup.delayInRegion : m_setup.delayBetweenRegions;
    if (m_vms[from]->isIsolated) {
        return;
    }
    m_events.emplace(m_now + delay, [this, index, action = std::move(action)] {
        if (!m_vms[index]->isIsolated) {
            action(*m_vms[index]);
        }
    });
}

void QuotaSimulation::arrive(std::size_t index)
{
    Vm &vm = *m_vms[index];
    CustomerQuota &quota = *vm.quotas->find(m_setup.customer.id);
    quota.noteArrival(m_now);
    vm.waiting.push_back(m_now + longestWait);
    quota.setWaiting(vm.waiting.size());
    serveWaiting(vm);
    if (!vm.waiting.empty()) {
        vm.broker->requestLoanFor(m_setup.customer.id, m_now);
        serveWaiting(vm);
    }
}

void QuotaSimulation::serveWaiting(Vm &vm)
{
    CustomerQuota &quota = *vm.quotas->find(m_setup.customer.id);
    while (!vm.waiting.empty()) {
        if (quota.take(m_now)) {
            m_admissions.push_back(m_now);
        } else if (vm.waiting.front() <= m_now || !vm.broker->mayReceiveTokens(m_setup.customer.id, m_now)) {
            ++m_refused;
        } else {
            break;
        }
        vm.waiting.pop_front();
    }
    quota.setWaiting(vm.waiting.size());
}

void QuotaSimulation::advanceTo(TimePoint time)
{
    while (m_now < time) {
        const TimePoint next = std::min(time, m_now + tick);
        while (!m_events.empty() && m_events.begin()->first <= next) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = next;
        exchangePresence();
        for (const auto &vm : m_vms) {
            vm->broker->requestLoans(m_now);
            serveWaiting(*vm);
        }
    }
}

void QuotaSimulation::exchangePresence()
{
    if (!m_nextPresence.hasPassed(m_now)) {
        return;
    }
    m_nextPresence = Deadline::after(m_now, presenceInterval);
    for (const auto &vm : m_vms) {
        for (const auto &peer : m_vms) {
            if (!peer->isIsolated && !vm->isIsolated) {
                vm->roster->noteHeartbeat(peer->record.vm, 0, {}, m_now);
            }
        }
    }
}

void QuotaSimulation::run(Milliseconds time, double requestsPerSecond,
                          const std::function<int(RandomSource &)> &chooseRegion)
{
    constexpr double microsecondsPerSecond = 1e6;
    const TimePoint end = m_now + time;
    while (m_now < end) {
        const double seconds = -std::log(1 - m_random.unit()) / requestsPerSecond;
        const TimePoint next = m_now + Microseconds(static_cast<std::int64_t>(seconds * microsecondsPerSecond));
        advanceTo(std::min(next, end));
        if (next < end) {
            const auto perRegion = static_cast<std::size_t>(m_setup.vmsPerRegion);
            arrive(static_cast<std::size_t>(chooseRegion(m_random)) * perRegion + m_random.below(perRegion));
        }
    }
}

void QuotaSimulation::isolate(std::size_t vm)
{
    m_vms[vm]->isIsolated = true;
}

void QuotaSimulation::reconnect(std::size_t vm)
{
    m_vms[vm]->isIsolated = false;
}

void QuotaSimulation::restart(std::size_t vm)
{
    createProcess(vm);
}

std::size_t QuotaSimulation::mostInWindow(Milliseconds window) const
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_admissions.size(); ++last) {
        while (m_admissions[last] - m_admissions[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace Sapphire
