#pragma once

#include <LibCaller/CallerServer.h>
#include <LibConfiguration/ConfigurationKeeper.h>
#include <LibCore/BootClock.h>
#include <LibDaemon/CrashReporter.h>
#include <LibDaemon/DaemonSettings.h>
#include <LibDaemon/DaemonViews.h>
#include <LibDaemon/DutyThread.h>
#include <LibDaemon/KeeperSnapshots.h>
#include <LibDaemon/LedgerStates.h>
#include <LibDaemon/LocalTargetRunner.h>
#include <LibDaemon/PeerCalls.h>
#include <LibDaemon/RegionKnowledge.h>
#include <LibFleet/FleetServer.h>
#include <LibFleet/FleetWithdrawalSpreader.h>
#include <LibFleet/Gossiper.h>
#include <LibLimit/AllotmentKeeper.h>
#include <LibOperator/OperatorServer.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTableService.h>
#include <LibPlatform/HttpVmDirectory.h>
#include <LibTarget/TargetObserver.h>

#include <memory>
#include <vector>

namespace Sapphire {

/// One VM of the system: wires the libraries together and runs their duties on threads of their own.
class Daemon
{
public:
    /// Starts serving. A VM without a configuration serves nothing keyed until it has one.
    /// Fails with Unavailable if an address is in use or not of this machine.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> create(DaemonSettings settings);
    ~Daemon();

    /// Stops as planned: leaves the look-ups, serves callers with cached ones for the linger time, refuses new requests
    /// as not run and finishes those that run. Returns the number of requests that were cut, which happens only
    /// when the stop timeout passes or `isUrgent` returns true.
    int stop(const std::function<bool()> &isUrgent);
    /// Returns whether this process was retired, so that the VM has to go on as another incarnation.
    bool isRetired() const;

private:
    /// What is made by factories that may fail.
    struct Foundation
    {
        std::unique_ptr<BootClock> clock;
        std::unique_ptr<Tracer> tracer;
        std::unique_ptr<HttpTableService> tables;
        std::unique_ptr<HttpObjectStore> objects;
        std::unique_ptr<HttpVmDirectory> directory;
        /// The journal writes through a client of its own: its waits must not use up the others' connections.
        std::unique_ptr<HttpTableService> journalTables;
        std::unique_ptr<ConfigurationLog> log;
        std::unique_ptr<ConfigurationKeeper> keeper;
    };

    [[nodiscard]] static Result<Foundation> createFoundation(const DaemonSettings &settings,
                                                             const VmIncarnation &process);
    Daemon(DaemonSettings settings, VmIncarnation process, Foundation foundation);

    [[nodiscard]] Result<void> start();
    [[nodiscard]] Result<void> startServers();
    void startDuties();
    void readVmList();
    void keepConfiguration();
    void keepAllotments();
    void gossip();
    void steer();
    void registerGauges();
    OperatorServer::Health health() const;
    void waitUntil(Deadline deadline, const std::function<bool()> &isUrgent) const;

    DaemonSettings m_settings;
    VmIncarnation m_process;
    Foundation m_foundation;
    const Clock &m_clock;
    Tracer &m_tracer;
    ConfigurationKeeper &m_keeper;
    Metrics m_metrics;

    Membership m_membership;
    FleetClient m_fleetClient;
    FleetWithdrawalSpreader m_spreader;
    PeerCalls m_peers;

    CustomerLimiter m_limiter;
    AllotmentKeeper m_allotments;

    ClaimTable m_claims;
    ClaimTable m_journalClaims;
    ClaimJournal m_journal;
    RequestLedger m_ledger;
    LedgerStates m_ledgerStates;
    RequestStates m_requestStates;

    CrashReporter m_crashReporter;
    ServiceTargets m_targets;
    TargetObserver m_observer;
    LocalTargetRunner m_localTargets;
    RegionKnowledge m_knowledge;
    RegionRouter m_router;

    ServingState m_serving;
    EntryHandler m_entry;
    KeyCheck m_keys;
    LookUp m_lookUp;
    CallerEndpoint m_callerEndpoint;
    ConnectionGuard m_guard;

    KeeperSnapshots m_snapshots;
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
    std::vector<std::unique_ptr<DutyThread>> m_duties;
};

} // namespace Sapphire
