#include <LibConfiguration/RetirementMonitor.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace Sapphire {

namespace {

/// Enough for the VM before in the order to write its entry, and for this VM to read it.
constexpr Microseconds retirementDelayPerRank { 3'000'000 };
/// After a longer gap between observations, a VM may have been listed in the meantime, so its time missing restarts.
constexpr Microseconds longestObservationGap { 5'000'000 };

} // namespace

std::size_t rankOf(const VmId &self, const std::set<VmId> &vms, const std::string &key)
{
    const std::uint64_t own = rendezvousRank(key, self.text());
    const auto before = std::count_if(vms.begin(), vms.end(), [&](const VmId &vm) {
        return vm != self && rendezvousRank(key, vm.text()) > own;
    });
    return static_cast<std::size_t>(before);
}

void RetirementMonitor::observe(const std::vector<RosterVm> &vms, const std::set<VmId> &listed, TimePoint now)
{
    for (const RosterVm &vm : vms) {
        note(vm.process, now);
    }
    const bool hasGap = m_lastObservation && now - *m_lastObservation > longestObservationGap;
    for (auto &[vm, tracked] : m_processes) {
        if (listed.contains(vm)) {
            tracked.wasListed = true;
            tracked.missingSince.reset();
        } else if (hasGap || !tracked.missingSince) {
            tracked.missingSince = now;
        }
    }
    m_listed = listed;
    m_lastObservation = now;
}

void RetirementMonitor::note(const VmIncarnation &process, TimePoint now)
{
    if (process.incarnation == Incarnation {}) {
        return;
    }
    TrackedProcess &tracked = m_processes[process.vm];
    if (tracked.incarnation < process.incarnation) {
        tracked.incarnation = process.incarnation;
        tracked.missingSince = now;
    }
}

std::vector<VmIncarnation> RetirementMonitor::due(const VmId &self, const Configuration &configuration,
                                                  TimePoint now) const
{
    std::vector<VmIncarnation> processes;
    // An empty list means that the platform's list has not been read yet.
    if (m_listed.empty()) {
        return processes;
    }
    for (const auto &[vm, tracked] : m_processes) {
        const VmIncarnation process { vm, tracked.incarnation };
        if (vm == self || !tracked.missingSince || configuration.isRetired(process)) {
            continue;
        }
        const Microseconds grace = tracked.wasListed ? retirementGrace : unlistedGrace;
        const std::string key = vm.text() + '/' + std::to_string(tracked.incarnation.value());
        const auto rank = static_cast<Microseconds::rep>(rankOf(self, m_listed, key));
        if (now - *tracked.missingSince >= grace + retirementDelayPerRank * rank) {
            processes.push_back(process);
        }
    }
    return processes;
}

} // namespace Sapphire
