#include <Soak/SoakRun.h>

#include <algorithm>
#include <fstream>

namespace Sapphire {

namespace {

constexpr int vmsPerRegion = 2;
constexpr int targetsPerRegion = 3;
constexpr Milliseconds recoveryTime { 8'000 };
constexpr Milliseconds stopTimeout { 3'000 };
constexpr Milliseconds exitTimeout { 1'000 };
constexpr Milliseconds probeTimeout { 1'000 };
constexpr Milliseconds linkDelay { 150 };
constexpr Milliseconds storeDelay { 400 };
constexpr Milliseconds pauseTime { 1'500 };
constexpr int statusUnavailable = 503;

std::string extraKey(int rulesVersion)
{
    return "key-extra-" + std::to_string(rulesVersion);
}

} // namespace

SoakRun::SoakRun(std::uint64_t seed, Milliseconds duration)
    : m_seed(seed), m_deployment(vmsPerRegion, targetsPerRegion, EntryDeployment::Links::Proxied)
{
    const SoakSize size { static_cast<int>(m_deployment.vms().size()),
                          static_cast<int>(m_deployment.targetList().size()) };
    m_record.faults = drawFaults(seed, duration, size);
    for (const EntryVm &vm : m_deployment.vms()) {
        m_record.vmAddresses.push_back(m_deployment.callerAddress(vm));
    }
}

std::vector<SoakRun::Step> SoakRun::steps() const
{
    std::vector<Step> result;
    for (std::size_t i = 0; i < m_record.faults.size(); ++i) {
        result.push_back({ m_record.faults[i].from, i, false });
        result.push_back({ m_record.faults[i].to, i, true });
    }
    std::stable_sort(result.begin(), result.end(), [](const Step &left, const Step &right) {
        return left.at < right.at;
    });
    return result;
}

SoakRecord SoakRun::run()
{
    EntryCallers::Settings settings;
    settings.seed = m_seed;
    settings.keepsConnections = true;
    EntryCallers callers(m_deployment, settings);
    m_record.startedAt = m_clock.now();
    for (const Step &step : steps()) {
        std::this_thread::sleep_for(Deadline(m_record.startedAt + step.at).remaining(m_clock.now()));
        apply(m_record.faults[step.fault], !step.isEnd);
    }
    m_record.faultsEndedAt = m_clock.now();
    std::this_thread::sleep_for(recoveryTime);
    for (const EntryVm &vm : m_deployment.vms()) {
        expectRunning(vm, "after the faults");
    }
    m_record.requests = callers.stop();
    m_record.runs = m_deployment.targets().runs();
    m_record.pauses = m_deployment.targets().pauses();
    return m_record;
}

void SoakRun::apply(const SoakFault &fault, bool isOn)
{
    switch (typeOf(fault.kind).scope) {
    case SoakScope::Vm:
        isOn ? beginAtVm(fault) : endAtVm(fault);
        break;
    case SoakScope::Store:
        isOn ? setStoreFault(fault.kind) : m_deployment.store().setFaults({});
        break;
    case SoakScope::Target:
        setTargetFault(fault, isOn);
        break;
    case SoakScope::StoreLink:
    case SoakScope::TargetLink:
        setLinkFault(fault, isOn);
        break;
    case SoakScope::Rules:
        isOn ? changeKey() : probeKeys();
        break;
    }
}

void SoakRun::beginAtVm(const SoakFault &fault)
{
    EntryVm &vm = m_deployment.vms().at(fault.victim);
    expectRunning(vm, "before " + std::string(typeOf(fault.kind).name));
    switch (fault.kind) {
    case SoakFaultKind::VmKilled:
        vm.process->kill();
        break;
    case SoakFaultKind::VmFrozen:
        vm.process->stop();
        break;
    case SoakFaultKind::VmStopped:
        vm.process->terminate();
        break;
    default:
        std::ofstream(m_deployment.settingsPath(vm))
            << m_deployment.settingsText(vm, stopTimeout - Milliseconds(fault.from.count() % 1'000));
    }
}

void SoakRun::endAtVm(const SoakFault &fault)
{
    EntryVm &vm = m_deployment.vms().at(fault.victim);
    if (fault.kind == SoakFaultKind::VmFrozen) {
        vm.process->resume();
        return;
    }
    if (fault.kind == SoakFaultKind::SettingsChanged) {
        return;
    }
    if (fault.kind == SoakFaultKind::VmStopped) {
        const std::optional<ExitStatus> status = vm.process->wait(after(exitTimeout));
        if (!status || *status != ExitStatus { 0, 0 }) {
            m_record.unexpectedEnds.push_back(vm.name + " did not end with code 0 after SIGTERM");
        }
    }
    m_deployment.start(vm);
}

void SoakRun::setStoreFault(SoakFaultKind kind)
{
    StoreFaults faults;
    faults.status = kind == SoakFaultKind::StoreDown ? statusUnavailable : 0;
    faults.isSilent = kind == SoakFaultKind::StoreSilent;
    faults.resetsConnections = kind == SoakFaultKind::StoreResetting;
    faults.delay = kind == SoakFaultKind::StoreSlow ? storeDelay : Milliseconds(0);
    faults.answersToDrop = kind == SoakFaultKind::StoreLosesAnswers ? 3 : 0;
    m_deployment.store().setFaults(faults);
    if (kind == SoakFaultKind::StoreDropsHistory) {
        m_deployment.store().dropHistory();
    }
}

void SoakRun::setTargetFault(const SoakFault &fault, bool isOn)
{
    WireTarget &target = *m_deployment.targetList().at(fault.victim);
    if (fault.kind == SoakFaultKind::TargetCrashed) {
        m_deployment.targets().run([&] {
            isOn ? target.crash() : target.restart();
        });
    } else if (fault.kind == SoakFaultKind::TargetDrained) {
        isOn ? drain(target) : returnToService(target);
    } else if (fault.kind == SoakFaultKind::TargetLeaving) {
        isOn ? leave(target) : restartAfterLeave(target);
    } else {
        WireTargetBehaviour behaviour;
        behaviour.pause = isOn && fault.kind == SoakFaultKind::TargetPaused ? pauseTime : Milliseconds(0);
        behaviour.isFailing = isOn && fault.kind == SoakFaultKind::TargetFailing;
        behaviour.isSilent = isOn && fault.kind == SoakFaultKind::TargetSilent;
        target.setBehaviour(behaviour);
    }
}

void SoakRun::drain(WireTarget &target)
{
    m_deployment.announce(target, "draining", bornOf(target));
    m_record.drains.push_back({ target.id(), m_clock.now(), TimePoint::max() });
}

void SoakRun::returnToService(WireTarget &target)
{
    const auto drained = std::find_if(m_record.drains.rbegin(), m_record.drains.rend(), [&](const SoakDrain &drain) {
        return drain.target == target.id();
    });
    drained->returnedAt = m_clock.now();
    m_deployment.announce(target, "ready", bornOf(target));
}

void SoakRun::leave(WireTarget &target)
{
    WireTargetBehaviour behaviour;
    behaviour.isLeaving = true;
    target.setBehaviour(behaviour);
    m_record.leaves.push_back({ target.id(), m_clock.now() });
}

void SoakRun::restartAfterLeave(WireTarget &target)
{
    const auto left = std::find_if(m_record.leaves.rbegin(), m_record.leaves.rend(), [&](const SoakLeave &leave) {
        return leave.target == target.id();
    });
    left->restartedAt = m_clock.now();
    target.setBehaviour({});
    m_deployment.targets().run([&] {
        target.restart();
    });
    m_born[&target] = bornOf(target) + 1;
    m_deployment.announce(target, "ready", bornOf(target));
}

int SoakRun::bornOf(const WireTarget &target) const
{
    const auto found = m_born.find(&target);
    return found == m_born.end() ? 1 : found->second;
}

void SoakRun::setLinkFault(const SoakFault &fault, bool isOn)
{
    FaultCommand command;
    command.name = typeOf(fault.kind).scope == SoakScope::StoreLink
        ? "store:" + m_deployment.vms().at(fault.victim).name
        : "target:" + m_deployment.targetList().at(fault.victim)->id();
    if (isOn) {
        const bool isReset =
            fault.kind == SoakFaultKind::StoreLinkReset || fault.kind == SoakFaultKind::TargetLinkReset;
        const bool isSlow = fault.kind == SoakFaultKind::StoreLinkSlow || fault.kind == SoakFaultKind::TargetLinkSlow;
        command.faults.isCut = isReset;
        command.faults.isSilent.toClient = !isReset && !isSlow;
        command.faults.delay.toServer = isSlow ? linkDelay : Milliseconds(0);
        command.faults.delay.toClient = command.faults.delay.toServer;
    }
    expect([&] {
        return m_deployment.proxy()->apply(command);
    });
}

void SoakRun::changeKey()
{
    EntryRules rules;
    rules.version = ++m_rulesVersion;
    rules.keys = { "key-1", extraKey(m_rulesVersion) };
    m_deployment.applyRules(rules);
}

void SoakRun::probeKeys()
{
    for (std::size_t i = 0; i < m_deployment.vms().size(); ++i) {
        EntryVm &vm = m_deployment.vms()[i];
        const auto now = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_record.startedAt);
        const bool isAffected =
            std::any_of(m_record.faults.begin(), m_record.faults.end(), [&](const SoakFault &fault) {
                return typeOf(fault.kind).scope == SoakScope::Vm && fault.victim == i && fault.from <= now
                    && fault.to >= now;
            });
        if (!isAffected) {
            probe(vm, extraKey(m_rulesVersion), true);
            probe(vm, extraKey(m_rulesVersion - 1), false);
        }
    }
}

void SoakRun::probe(const EntryVm &vm, const std::string &key, bool isValid)
{
    const std::string id = "probe-" + std::to_string(++m_probes);
    m_record.probes.push_back(
        { EntryCallers::send(m_deployment.callerAddress(vm), "GET", "/read/probe", id, key, probeTimeout), isValid });
}

void SoakRun::expectRunning(const EntryVm &vm, const std::string &when)
{
    if (!vm.process->isRunning()) {
        m_record.unexpectedEnds.push_back(vm.name + " had ended unexpectedly " + when);
    }
}

} // namespace Sapphire
