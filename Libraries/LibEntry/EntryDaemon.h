#pragma once

#include <LibCore/BootClock.h>
#include <LibEntry/EntrySettings.h>
#include <LibEntry/OperatorStateSynchronizer.h>
#include <LibEntry/TargetListSynchronizer.h>
#include <LibGateway/Gateway.h>
#include <LibNet/SimpleHttpServer.h>
#include <LibPeer/PeerNetwork.h>
#include <LibSteering/VmListGuard.h>

#include <memory>
#include <mutex>

namespace Sapphire {

/// The platform's adapter: the sources that a VM reads, and the formats that the platform expects.
struct PlatformAdapter
{
    std::unique_ptr<OperatorStateSource> operatorState;
    std::unique_ptr<TargetListSource> targetList;
    std::unique_ptr<VmRegistry> vmRegistry;
    std::string readinessPath;
    std::string lookUpPath;
    /// Formats the answer to a look-up.
    std::function<SimpleAnswer(const std::vector<std::string> &addresses, Milliseconds timeToLive)> writeLookUp;
};

/// The program of a VM on a platform that stores the operators' rules and lists the targets. Connects the gateway, the
/// other VMs and the sources of the platform.
class EntryDaemon final : private TokenSource, private RegionDemandSource
{
public:
    /// Starts serving. Fails with Unavailable if an address is in use or not of this machine.
    [[nodiscard]] static Result<std::unique_ptr<EntryDaemon>> create(EntrySettings settings, PlatformAdapter adapter);
    ~EntryDaemon() override;

    /// Serves until a planned stop has ended.
    void run();
    /// Begins a planned stop. Any thread may call it.
    void stop();
    /// Applies changed settings. Limits change at once; addresses, region and availability zone need a new process. Any
    /// thread may call it.
    void reload(const EntrySettings &settings);

private:
    EntryDaemon(EntrySettings settings, PlatformAdapter adapter, std::unique_ptr<BootClock> clock,
                std::unique_ptr<EventLoop> loop);

    [[nodiscard]] Result<void> startServers();
    /// Starts a server that answers one path at an address; returns null if the address is empty.
    Result<std::unique_ptr<SimpleHttpServer>> serve(const std::optional<Ipv4Endpoint> &address, const std::string &path,
                                                    std::function<SimpleAnswer()> answer);
    void registerPeerMetrics();
    void startSynchronizers();
    Result<void> synchronizeVmList();
    std::vector<VmId> takeGoneVms();
    void findGoneVms();
    void applyVms(const VmList &list);
    void post(EventLoop::Task task);
    void requestTokens(const CustomerId &customer) override;
    bool mayReceiveTokens(const CustomerId &customer) override;
    std::map<RegionId, Demand> demandFor(const ServiceId &service) override;
    SimpleAnswer readiness() const;
    SimpleAnswer lookUp() const;
    SimpleAnswer metrics() const;

    EntrySettings m_settings;
    PlatformAdapter m_adapter;
    std::unique_ptr<BootClock> m_clock;
    Metrics m_metrics;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<Gateway> m_gateway;
    std::unique_ptr<SimpleHttpServer> m_readinessServer;
    std::unique_ptr<SimpleHttpServer> m_lookUpServer;
    std::unique_ptr<SimpleHttpServer> m_metricsServer;
    VmRecord m_own;
    VmRoster m_roster;
    std::unique_ptr<PeerNetwork> m_peers;
    Timer m_goneTimer;
    std::mutex m_goneMutex;
    std::vector<VmId> m_goneVms; ///< VMs whose records are to be removed from the registry.
    std::unique_ptr<OperatorStateSynchronizer> m_operatorStateSynchronizer;
    bool m_isConfigurationUnreadable { false }; ///< The platform holds a newer one than the rules in force.
    std::unique_ptr<TargetListSynchronizer> m_targetListSynchronizer;
    VmListGuard m_vmListGuard;
    RandomSource m_random { RandomSource::seededBySystem() };
    Timer m_enterAgainTimer; ///< Reads the list of VMs after a return of the platform from a copy.
    std::unique_ptr<SourcePoller> m_vmListPoller;
};

} // namespace Sapphire
