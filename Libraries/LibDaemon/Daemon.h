#pragma once

#include <LibCaller/CallerServer.h>
#include <LibConfiguration/ConfigurationManager.h>
#include <LibCore/BootClock.h>
#include <LibDaemon/ConfigurationSnapshotExchange.h>
#include <LibDaemon/CrashReporter.h>
#include <LibDaemon/DaemonSettings.h>
#include <LibDaemon/DaemonViews.h>
#include <LibDaemon/FleetClientPeers.h>
#include <LibDaemon/LedgerStateSource.h>
#include <LibDaemon/LocalTargetRunner.h>
#include <LibDaemon/ObservationExchange.h>
#include <LibDaemon/PeriodicThread.h>
#include <LibFleet/FleetServer.h>
#include <LibFleet/FleetWithdrawalSpreader.h>
#include <LibFleet/Gossiper.h>
#include <LibLimit/AllotmentReconciler.h>
#include <LibOperator/OperatorServer.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTableService.h>
#include <LibPlatform/HttpVmDirectory.h>
#include <LibTarget/TargetObserver.h>

#include <memory>
#include <vector>

namespace Sapphire {

/// The daemon of one VM: creates the parts from the libraries, connects them and runs their periodic tasks on threads.
class Daemon
{
public:
    /// Starts serving. Until the VM has a configuration, it serves no requests that need a key.
    /// Fails with Unavailable if an address is in use or not of this machine.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> create(DaemonSettings settings);
    ~Daemon();

    /// Shuts down gracefully: look-ups no longer name this VM, but callers with cached look-ups are served for the
    /// linger time. Then new requests are refused as not run, and running ones may finish. Returns the number of
    /// requests that were cut, which happens only if the stop timeout passes or `isUrgent` returns true.
    int stop(const std::function<bool()> &isUrgent);
    /// Returns whether this process was retired; the VM must then continue as a new incarnation.
    bool isRetired() const;

private:
    /// Objects whose creation may fail; they are created before the daemon.
    struct Dependencies
    {
        std::unique_ptr<BootClock> clock;
        std::unique_ptr<Tracer> tracer;
        std::unique_ptr<HttpTableService> tables;
        std::unique_ptr<HttpObjectStore> objects;
        std::unique_ptr<HttpVmDirectory> directory;
        /// A separate client for the journal, whose waiting writes must not use up the connections of the others.
        std::unique_ptr<HttpTableService> journalTables;
        std::unique_ptr<ConfigurationLog> log;
        std::unique_ptr<ConfigurationManager> configurationManager;
    };

    [[nodiscard]] static Result<Dependencies> createDependencies(const DaemonSettings &settings,
                                                                 const VmIncarnation &process);
    Daemon(DaemonSettings settings, VmIncarnation process, Dependencies dependencies);

    [[nodiscard]] Result<void> start();
    [[nodiscard]] Result<void> startServers();
    void startThreads();
    void readVmList();
    void tickConfiguration();
    void reconcileAllotments();
    void gossip();
    void steer();
    void registerGauges();
    OperatorServer::Health health() const;
    void waitUntil(Deadline deadline, const std::function<bool()> &isUrgent) const;

    DaemonSettings m_settings;
    VmIncarnation m_process;
    Dependencies m_dependencies;
    const Clock &m_clock;
    Tracer &m_tracer;
    ConfigurationManager &m_configurationManager;
    Metrics m_metrics;

    Membership m_membership;
    FleetClient m_fleetClient;
    FleetWithdrawalSpreader m_spreader;
    FleetClientPeers m_peers;

    CustomerLimiter m_limiter;
    AllotmentReconciler m_allotments;

    ClaimTable m_claims;
    ClaimTable m_journalClaims;
    ClaimJournal m_journal;
    RequestLedger m_ledger;
    LedgerStateSource m_ledgerStateSource;
    RequestStates m_requestStates;

    CrashReporter m_crashReporter;
    ServiceTargets m_targets;
    TargetObserver m_observer;
    LocalTargetRunner m_localTargets;
    ObservationExchange m_observations;
    RegionRouter m_router;

    ServingState m_serving;
    EntryHandler m_entry;
    KeyCheck m_keys;
    LookUp m_lookUp;
    CallerEndpoint m_callerEndpoint;
    ConnectionGuard m_guard;

    ConfigurationSnapshotExchange m_snapshots;
    ExchangeBuilder m_exchange;
    Gossiper m_gossip;
    DaemonViews m_views;
    StatementRunner m_statements;

    std::unique_ptr<FleetServer> m_fleetServer;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<OperatorServer> m_operatorServer;
    bool m_isListLost { false };
    ConfigurationVersion m_targetsVersion;
    std::vector<VmId> m_targetsVms;
    std::vector<std::unique_ptr<PeriodicThread>> m_threads;
};

} // namespace Sapphire
