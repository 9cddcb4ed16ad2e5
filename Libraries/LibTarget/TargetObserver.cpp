#include <LibTarget/TargetObserver.h>

#include <LibCore/Hash.h>
#include <LibTarget/LibTargetEvents.h>

#include <algorithm>
#include <array>
#include <set>

#include <poll.h>

namespace Sapphire {

namespace {

constexpr int observersPerTarget = 2;

std::string_view nameOf(TargetHealth health)
{
    static constexpr std::array<std::string_view, 4> names { "ok", "draining", "failing", "unreachable" };
    return names.at(static_cast<std::size_t>(health));
}

} // namespace

TargetObserver::TargetObserver(TargetObserverSettings settings, const Roster &roster, ServiceTargets &targets,
                               const Clock &clock)
    : m_settings(std::move(settings)), m_roster(roster), m_targets(targets), m_clock(clock)
{
}

bool TargetObserver::isObserver(const TargetId &target, const VmId &vm, const std::vector<VmId> &vmsOfRegion)
{
    const std::uint64_t rank = rendezvousRank(target.text(), vm.text());
    const auto better = std::count_if(vmsOfRegion.begin(), vmsOfRegion.end(), [&](const VmId &other) {
        return rendezvousRank(target.text(), other.text()) > rank;
    });
    return better < observersPerTarget;
}

std::vector<VmId> TargetObserver::observingVms(TimePoint now) const
{
    std::vector<VmId> vms { m_settings.ownVm };
    for (const RosterVm &vm : m_roster.vms(now)) {
        const bool takesPart = vm.locality.region == m_settings.region && !vm.isSuspect && !vm.isLeaving;
        if (takesPart && vm.process.vm != m_settings.ownVm) {
            vms.push_back(vm.process.vm);
        }
    }
    return vms;
}

void TargetObserver::tick(TimePoint now)
{
    assign(now);
    runProbes(now);
    publish();
}

void TargetObserver::assign(TimePoint now)
{
    const std::vector<VmId> vms = observingVms(now);
    std::set<TargetId> assigned;
    for (const ObservableTarget &target : m_targets.observableTargets()) {
        if (!isObserver(target.id, m_settings.ownVm, vms)) {
            continue;
        }
        assigned.insert(target.id);
        const auto existing = m_probes.find(target.id);
        if (existing != m_probes.end() && existing->second.address() != target.address) {
            m_probes.erase(existing);
        }
        m_probes.try_emplace(target.id, target.id, m_settings.ownVm, target.address);
    }
    std::erase_if(m_probes, [&](const auto &entry) {
        return !assigned.contains(entry.first);
    });
    std::erase_if(m_health, [&](const auto &entry) {
        return !assigned.contains(entry.first);
    });
}

void TargetObserver::runProbes(TimePoint now)
{
    const Deadline deadline = Deadline::after(now, m_settings.timeout);
    for (auto &[target, probe] : m_probes) {
        probe.begin(now);
    }
    while (true) {
        std::vector<pollfd> entries;
        std::vector<TargetProbe *> waiting;
        for (auto &[target, probe] : m_probes) {
            if (!probe.isDone()) {
                probe.preparePoll(entries.emplace_back());
                waiting.push_back(&probe);
            }
        }
        const TimePoint waitStart = m_clock.now();
        if (waiting.empty() || deadline.hasPassed(waitStart)) {
            for (TargetProbe *probe : waiting) {
                probe->giveUp(waitStart);
            }
            return;
        }
        const auto wait = std::chrono::ceil<Milliseconds>(deadline.remaining(waitStart));
        ::poll(entries.data(), entries.size(), static_cast<int>(wait.count()));
        const TimePoint afterWait = m_clock.now();
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            waiting[i]->handleEvents(entries[i].revents, afterWait);
        }
    }
}

void TargetObserver::publish()
{
    for (const auto &[target, probe] : m_probes) {
        const TargetReport &report = probe.report();
        m_targets.takeReport(report);
        const auto [known, isNew] = m_health.try_emplace(target, TargetHealth::Ok);
        if (known->second != report.health) {
            logEvent(TargetEvents::targetHealthChanged,
                     { { "target", target }, { "before", nameOf(known->second) }, { "now", nameOf(report.health) } });
            known->second = report.health;
        }
    }
}

} // namespace Sapphire
