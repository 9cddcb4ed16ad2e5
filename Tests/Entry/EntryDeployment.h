#pragma once

#include <Harness/ChildProcess.h>
#include <Harness/Expect.h>
#include <Harness/FaultProxy.h>
#include <Harness/HttpCall.h>
#include <Harness/LoopbackSubnet.h>
#include <StandIns/Store/StoreStandIn.h>
#include <StandIns/WireTarget/WireTargets.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

/// A VM of the deployment, which runs as a sapphire-entry process.
struct EntryVm
{
    std::string name;
    std::string region;
    std::string zone;
    std::string ip;
    std::string program; ///< What start() starts: a name or a path, see ChildProcess::create().
    std::unique_ptr<ChildProcess> process;
};

/// The parts of the deployment's rules that tests vary.
struct EntryRules
{
    int version { 1 };
    Milliseconds timeout { 1'000 };
    double rate { 500 };
    std::vector<std::string> keys { "key-1" };
    std::string readService { "s" };
    std::string addedRoute {}; ///< Name of a third route; empty for none.
    std::string allowedRegion; ///< The only region that may run the requests; empty if all may.
};

/// Entry VMs in two regions of one availability zone each, a stand-in of the platform's store and stand-in targets.
class EntryDeployment
{
public:
    enum class Links {
        Direct,
        /// VMs reach the store through links named "store:VM" and targets through links named "target:ID".
        Proxied,
    };

    /// Starts VMs in each region and targets of service "s" in each region, and waits until all VMs are ready.
    EntryDeployment(int vmsPerRegion, int targetsPerRegion, Links links = Links::Direct,
                    const std::string &program = "sapphire-entry");

    /// Returns the proxy of the links, or null if they are direct.
    FaultProxy *proxy() const
    {
        return m_proxy.get();
    }

    StoreStandIn &store()
    {
        return m_store;
    }
    WireTargets &targets()
    {
        return m_targets;
    }
    std::vector<EntryVm> &vms()
    {
        return m_vms;
    }
    const std::vector<WireTarget *> &targetList() const
    {
        return m_targetList;
    }

    void applyRules(const EntryRules &rules);
    /// Writes a target's entry in the store, as a real target does itself. `born` is the time of its start.
    void announce(const WireTarget &target, const std::string &state, int born = 1);
    void withdraw(const WireTarget &target);
    /// Starts or restarts a VM's process with the settings in its file.
    void start(EntryVm &vm);
    std::string settingsText(const EntryVm &vm, Milliseconds stopTimeout) const;
    std::filesystem::path settingsPath(const EntryVm &vm) const;
    bool isReady(const EntryVm &vm) const;
    void waitUntilReady();
    /// Returns the addresses that a look-up at the VM returns.
    std::vector<std::string> lookUp(const EntryVm &vm) const;
    std::string callerAddress(const EntryVm &vm) const;
    std::string zoneOf(const WireTarget &target) const;

private:
    void startProxy();
    std::string linkAddress(const std::string &link, const std::string &directAddress) const;

    std::unique_ptr<ScratchFolder> m_folder;
    LoopbackSubnet m_subnet;
    StoreStandIn m_store;
    WireTargets m_targets;
    std::vector<WireTarget *> m_targetList;
    std::map<const WireTarget *, std::string> m_zones;
    std::vector<EntryVm> m_vms;
    std::map<std::string, std::string> m_linkAddresses; ///< By name.
    std::unique_ptr<FaultProxy> m_proxy;
    int m_sequence { 0 };
};

} // namespace Sapphire
