#pragma once

#include <Entry/EntryCallers.h>
#include <Soak/SoakRecord.h>

#include <map>
#include <memory>
#include <vector>

namespace Sapphire {

/// Runs a deployment of sapphire-entry processes under load and injects faults into it.
class SoakRun
{
public:
    /// Starts the deployment and waits until it is ready.
    SoakRun(std::uint64_t seed, Milliseconds duration);

    /// Injects all faults, waits until the deployment should have recovered, and returns the record of the run.
    SoakRecord run();

private:
    struct Step
    {
        Milliseconds at {};
        std::size_t fault { 0 };
        bool isEnd { false };
    };

    std::vector<Step> steps() const;
    /// Starts or ends a fault.
    void apply(const SoakFault &fault, bool isOn);
    void beginAtVm(const SoakFault &fault);
    void endAtVm(const SoakFault &fault);
    void setStoreFault(SoakFaultKind kind);
    void setTargetFault(const SoakFault &fault, bool isOn);
    void drain(WireTarget &target);
    void returnToService(WireTarget &target);
    void leave(WireTarget &target);
    void restartAfterLeave(WireTarget &target);
    int bornOf(const WireTarget &target) const;
    void setLinkFault(const SoakFault &fault, bool isOn);
    void changeKey();
    void probeKeys();
    void probe(const EntryVm &vm, const std::string &key, bool isValid);
    void expectRunning(const EntryVm &vm, const std::string &when);

    std::uint64_t m_seed;
    EntryDeployment m_deployment;
    SoakRecord m_record;
    BootClock m_clock;
    int m_rulesVersion { 1 };
    std::map<const WireTarget *, int> m_born; ///< The last start of targets that have started again.
    int m_probes { 0 };
};

} // namespace Sapphire
