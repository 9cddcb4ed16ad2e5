#pragma once

#include <Deployment/DeploymentPlan.h>
#include <Harness/ChildProcess.h>
#include <Harness/FaultProxy.h>
#include <Harness/HttpCall.h>
#include <Harness/LoopbackSubnet.h>
#include <Harness/PlatformStandIn.h>
#include <Harness/ScratchFolder.h>
#include <LibCore/Ids.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

struct DeploymentOptions
{
    /// Delays the network between zones, regions and the store as planned. Without it every link is as fast as
    /// loopback.
    bool hasNetworkDelays { false };
    /// Members of the daemons' settings as JSON text, for example `"slotPolicy": "divided"`. Empty for none.
    std::string extraSettings {};
    bool keepsFolder { false };
    /// VMs that create() does not start.
    std::vector<std::string> absentVms {};
    /// The daemon that create() starts: a name or a path, see ChildProcess::create().
    std::string program { "sapphired" };
};

/// One VM of a running deployment.
struct DeployedVm
{
    VmId vm;
    Locality locality;
    std::string address; ///< IP address.
    std::string callerAddress; ///< "ip:port", as look-ups name it.
    std::string operatorAddress;
    std::string program {}; ///< The daemon that startVm() starts, as in DeploymentOptions.
    std::unique_ptr<ChildProcess> process {};
};

struct DeployedTarget
{
    TargetId target;
    ServiceId service;
    Locality locality;
    std::string address; ///< "ip:port" of the proxy's link to the target.
    std::string directAddress; ///< "ip:port" at which the stand-in listens.
    int slots { 0 };
};

/// A whole deployment on loopback: stand-ins of platform and targets, a fault proxy between all parts, and a daemon
/// for each VM. Links of the proxy are named "store:REGION", "fleet:FROMZONE>TOZONE:VM" (zones begin with their
/// region's name), "target:ID".
class Deployment
{
public:
    /// Starts everything and waits until each VM is serving. Fails with Unavailable or Timeout.
    [[nodiscard]] static Result<std::unique_ptr<Deployment>> create(const DeploymentPlan &plan,
                                                                    const DeploymentOptions &options);
    ~Deployment();

    const DeploymentPlan &plan() const
    {
        return m_plan;
    }
    std::vector<DeployedVm> &vms()
    {
        return m_vms;
    }
    /// The VM must exist.
    DeployedVm &vm(const std::string &name);
    std::vector<DeployedVm *> vmsOf(const std::string &region);
    const std::vector<DeployedTarget> &targets() const
    {
        return m_targets;
    }
    PlatformStandIn &platform()
    {
        return *m_platform;
    }
    FaultProxy &proxy()
    {
        return *m_proxy;
    }
    const ScratchFolder &folder() const
    {
        return *m_folder;
    }
    /// Returns the text of a customer's first key, "KEYID.SECRET".
    std::string key(const std::string &customer) const;
    const std::string &operatorToken() const
    {
        return m_operatorToken;
    }

    /// Starts or restarts a VM's daemon, and adds the VM to the platform's list.
    [[nodiscard]] Result<void> startVm(const std::string &name);
    [[nodiscard]] Result<void> waitUntilServing(const std::string &name, Deadline deadline);
    /// Sends a command to a VM's operator endpoint and returns the JSON answer.
    [[nodiscard]] Result<std::string> command(const std::string &vm, const std::string &text,
                                              Milliseconds wait = Milliseconds(14'000));
    /// Sends a control request to the target stand-in and returns its answer.
    [[nodiscard]] Result<std::string> targetControl(const std::string &pathAndQuery);

    /// Cuts a region off from the others and, unless it has the store itself, from the store.
    [[nodiscard]] Result<void> cutRegion(const std::string &region);
    /// Clears all faults of the links and restores the planned delays.
    [[nodiscard]] Result<void> healNetwork();

private:
    Deployment(DeploymentPlan plan, DeploymentOptions options);

    void planVms();
    void planTargets();
    std::vector<LinkSettings> links() const;
    [[nodiscard]] Result<void> startStandIns();
    [[nodiscard]] Result<void> configure();
    [[nodiscard]] Result<void> runCommands(const std::vector<std::string> &commandTexts);
    [[nodiscard]] Result<void> delayLinks(const std::string &prefix, Microseconds roundTrip,
                                          std::int64_t megabitsPerSecond);
    std::string targetSettings() const;
    std::string vmSettings(const DeployedVm &vm) const;
    std::vector<std::string> configurationCommands() const;
    std::string linkAddress(const std::string &link) const;

    DeploymentPlan m_plan;
    DeploymentOptions m_options;
    LoopbackSubnet m_subnet;
    std::unique_ptr<ScratchFolder> m_folder;
    std::string m_operatorToken;
    std::map<std::string, std::string> m_secrets; ///< By customer.
    std::map<std::string, std::string> m_links; ///< Listening address by name.
    std::vector<DeployedTarget> m_targets;
    std::vector<DeployedVm> m_vms;
    std::unique_ptr<PlatformStandIn> m_platform;
    std::unique_ptr<ChildProcess> m_targetStandIn;
    std::unique_ptr<FaultProxy> m_proxy;
    int m_nextCommand { 0 };
};

/// Returns the name of the proxy's link from a zone to a VM.
std::string fleetLink(const std::string &fromZone, const std::string &toZone, const std::string &vm);

} // namespace Sapphire
