#include <LibConfiguration/RetirementWatch.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace Sapphire {

namespace {

/// Enough for the VM before to write and for its entry to be read.
constexpr Microseconds turnLength { 3'000'000 };
/// After a longer gap between observations, nothing is known of the time in between.
constexpr Microseconds longestObservationGap { 5'000'000 };

} // namespace

std::size_t rankOf(const VmId &self, const std::set<VmId> &vms, const std::string &matter)
{
    const std::uint64_t own = rendezvousRank(matter, self.text());
    const auto before = std::count_if(vms.begin(), vms.end(), [&](const VmId &vm) {
        return vm != self && rendezvousRank(matter, vm.text()) > own;
    });
    return static_cast<std::size_t>(before);
}

void RetirementWatch::observe(const std::vector<RosterVm> &vms, const std::set<VmId> &listed, TimePoint now)
{
    for (const RosterVm &vm : vms) {
        note(vm.process, now);
    }
    const bool hasGap = m_lastObservation && now - *m_lastObservation > longestObservationGap;
    for (auto &[vm, watched] : m_processes) {
        if (listed.contains(vm)) {
            watched.wasListed = true;
            watched.missingSince.reset();
        } else if (hasGap || !watched.missingSince) {
            watched.missingSince = now;
        }
    }
    m_listed = listed;
    m_lastObservation = now;
}

void RetirementWatch::note(const VmIncarnation &process, TimePoint now)
{
    if (process.incarnation == Incarnation {}) {
        return;
    }
    Watched &watched = m_processes[process.vm];
    if (watched.incarnation < process.incarnation) {
        watched.incarnation = process.incarnation;
        watched.missingSince = now;
    }
}

std::vector<VmIncarnation> RetirementWatch::due(const VmId &self, const Configuration &configuration,
                                                TimePoint now) const
{
    std::vector<VmIncarnation> processes;
    // An empty list means that none was read yet.
    if (m_listed.empty()) {
        return processes;
    }
    for (const auto &[vm, watched] : m_processes) {
        const VmIncarnation process { vm, watched.incarnation };
        if (vm == self || !watched.missingSince || configuration.isRetired(process)) {
            continue;
        }
        const Microseconds grace = watched.wasListed ? retirementGrace : unlistedGrace;
        const std::string matter = vm.text() + '/' + std::to_string(watched.incarnation.value());
        const auto rank = static_cast<Microseconds::rep>(rankOf(self, m_listed, matter));
        if (now - *watched.missingSince >= grace + turnLength * rank) {
            processes.push_back(process);
        }
    }
    return processes;
}

} // namespace Sapphire
