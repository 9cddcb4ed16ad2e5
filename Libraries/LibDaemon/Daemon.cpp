#include <LibDaemon/Daemon.h>

#include <LibDaemon/DaemonEvents.h>

#include <thread>

namespace Sapphire {

namespace {

constexpr Milliseconds tickInterval { 50 };
constexpr Milliseconds gossipInterval { 1'000 };
constexpr Milliseconds listInterval { 1'000 };
constexpr Milliseconds listTimeout { 2'000 };
constexpr Milliseconds allotmentInterval { 500 };
constexpr Milliseconds observeInterval { 1'000 };
constexpr Milliseconds steerInterval { 500 };
constexpr Milliseconds longestConfigurationWait { 200 };
constexpr Milliseconds startTimeout { 3'000 };
constexpr Milliseconds stopPoll { 20 };
constexpr Milliseconds journalFlushTimeout { 3'000 };
constexpr Milliseconds fleetShutdownTimeout { 500 };
// Time for sending the answers to requests that have just ended.
constexpr Milliseconds answerSendTime { 200 };

PlatformClientSettings platformClient(const DaemonSettings &settings)
{
    PlatformClientSettings client;
    client.address = settings.platformAddress;
    return client;
}

FleetClientSettings fleetClient(const DaemonSettings &settings)
{
    FleetClientSettings client;
    client.addressMap = settings.addressMap;
    return client;
}

} // namespace

Result<Daemon::Dependencies> Daemon::createDependencies(const DaemonSettings &settings, const VmIncarnation &process)
{
    Dependencies dependencies;
    dependencies.clock = std::make_unique<BootClock>();
    BOOST_LEAF_ASSIGN(dependencies.tracer,
                      Tracer::create(settings.traceFile, "sapphired " + settings.vm.text(), *dependencies.clock));
    BOOST_LEAF_ASSIGN(dependencies.tables, HttpTableService::create(platformClient(settings)));
    BOOST_LEAF_ASSIGN(dependencies.objects, HttpObjectStore::create(platformClient(settings)));
    BOOST_LEAF_ASSIGN(dependencies.directory, HttpVmDirectory::create(platformClient(settings)));
    BOOST_LEAF_ASSIGN(dependencies.journalTables, HttpTableService::create(platformClient(settings)));
    dependencies.log = std::make_unique<ConfigurationLog>(*dependencies.tables, *dependencies.objects);
    ConfigurationManagerSettings managerSettings;
    managerSettings.self = process;
    managerSettings.locality = settings.locality;
    BOOST_LEAF_ASSIGN(dependencies.configurationManager,
                      ConfigurationManager::create(managerSettings, *dependencies.log, *dependencies.clock));
    return dependencies;
}

Result<std::unique_ptr<Daemon>> Daemon::create(DaemonSettings settings)
{
    // The wall time gives later processes of a VM higher incarnation numbers without state that is kept on the VM.
    const VmIncarnation process { settings.vm,
                                  Incarnation(static_cast<std::uint64_t>(BootClock().wallTime().count())) };
    BOOST_LEAF_AUTO(dependencies, createDependencies(settings, process));
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings), process, std::move(dependencies)));
    BOOST_LEAF_CHECK(daemon->start());
    return daemon;
}

Daemon::Daemon(DaemonSettings settings, VmIncarnation process, Dependencies dependencies)
    : m_settings(std::move(settings))
    , m_process(std::move(process))
    , m_dependencies(std::move(dependencies))
    , m_clock(*m_dependencies.clock)
    , m_tracer(*m_dependencies.tracer)
    , m_configurationManager(*m_dependencies.configurationManager)
    , m_membership(m_process, m_settings.locality, { m_settings.address, m_settings.callerPort, m_settings.fleetPort })
    , m_fleetClient(m_membership, m_clock, fleetClient(m_settings))
    , m_spreader(m_fleetClient, m_membership, m_clock)
    , m_peers(m_fleetClient)
    , m_limiter(m_process, m_settings.locality, m_clock, m_configurationManager, m_membership, m_fleetClient,
                m_settings.limits)
    , m_allotments(m_limiter, *m_dependencies.tables, m_clock, m_configurationManager, m_settings.limits)
    , m_claims(*m_dependencies.tables)
    , m_journalClaims(*m_dependencies.journalTables)
    , m_journal(m_journalClaims, m_clock)
    , m_ledger(m_claims, m_journal, m_clock, { m_process })
    , m_ledgerStateSource(m_ledger, m_process, m_clock)
    , m_requestStates(m_ledger, m_peers, m_process)
    , m_targets({ m_settings.vm, m_settings.locality.region, m_settings.slotPolicy }, m_clock, &m_crashReporter)
    , m_observer({ m_settings.vm, m_settings.locality.region }, m_membership, m_targets, m_clock)
    , m_localTargets(m_targets, m_tracer, m_settings.vm)
    , m_observations(m_targets, m_settings.locality.region)
    , m_router({ m_configurationManager, m_membership, m_localTargets, m_peers, m_clock, m_metrics, m_tracer },
               m_settings.vm, m_settings.locality.region)
    , m_entry({ m_router, m_ledger, m_requestStates, m_peers, m_limiter, m_serving, m_clock }, m_process)
    , m_keys(m_configurationManager)
    , m_lookUp({ m_configurationManager, m_membership, m_limiter, m_ledger, m_clock },
               { m_process, m_settings.locality, m_settings.lookUpTimeToLive })
    , m_callerEndpoint({ m_configurationManager, m_keys, m_lookUp, m_entry, m_requestStates, m_serving, m_clock,
                         m_metrics, m_tracer },
                       { m_settings.vm, m_settings.mostBodyBytes })
    , m_guard(m_clock)
    , m_snapshots(m_configurationManager)
    , m_exchange(m_membership, m_configurationManager, m_observations, m_observations)
    , m_gossip({ m_fleetClient, m_exchange, m_membership, m_configurationManager, m_snapshots, m_spreader, m_clock })
    , m_views({ m_configurationManager, m_limiter, m_router, m_observations, m_clock })
    , m_statements(m_configurationManager, m_membership, m_views, m_clock)
{
    m_configurationManager.connect(m_membership, m_spreader);
    m_observations.connect(m_router);
    m_localTargets.connect(m_router);
    m_crashReporter.connect(m_router);
    registerGauges();
}

Daemon::~Daemon()
{
    m_router.setSuspectListener([] {});
    m_threads.clear();
    m_operatorServer.reset();
    m_guard.shutDownAll();
    m_callerServer.reset();
    if (m_fleetServer) {
        m_fleetServer->shutdown(Deadline::after(m_clock.now(), fleetShutdownTimeout));
    }
}

Result<void> Daemon::start()
{
    BOOST_LEAF_CHECK(startServers());
    readVmList();
    const Outcome<void> loaded = capture([&] {
        return m_configurationManager.start(Deadline::after(m_clock.now(), startTimeout));
    });
    if (!loaded) {
        logEvent(DaemonEvents::waitingForConfiguration, { { "reason", loaded.error().message } });
    }
    startThreads();
    logEvent(
        DaemonEvents::started,
        { { "vm", m_process.vm }, { "incarnation", m_process.incarnation }, { "region", m_settings.locality.region } });
    return {};
}

Result<void> Daemon::startServers()
{
    FleetServerSettings fleet;
    fleet.address = m_settings.address + ":" + std::to_string(m_settings.fleetPort);
    BOOST_LEAF_ASSIGN(m_fleetServer,
                      FleetServer::create({ m_exchange, m_configurationManager, m_snapshots, m_limiter, m_entry,
                                            m_ledgerStateSource, m_spreader, m_clock },
                                          fleet));
    CallerServer::Settings callers;
    callers.address = m_settings.address;
    callers.port = m_settings.callerPort;
    callers.mostConnections = m_settings.mostConnections;
    callers.headTimeout = m_settings.headTimeout;
    BOOST_LEAF_ASSIGN(m_callerServer, CallerServer::create(callers, m_callerEndpoint, m_guard));
    BOOST_LEAF_ASSIGN(m_operatorServer,
                      OperatorServer::create({ m_settings.address, m_settings.operatorPort, m_settings.operatorToken },
                                             { m_statements, m_metrics, m_clock, [this] {
                                                  return health();
                                              } }));
    return {};
}

void Daemon::startThreads()
{
    const auto add = [this](const std::string &name, Milliseconds interval, std::function<void()> task) {
        m_threads.push_back(std::make_unique<PeriodicThread>(name, interval, std::move(task)));
    };
    add("tick", tickInterval, [this] {
        m_configurationManager.noteTick(m_clock.now());
    });
    add("configuration", Milliseconds(0), [this] {
        tickConfiguration();
    });
    add("vm-list", listInterval, [this] {
        readVmList();
    });
    add("gossip", gossipInterval, [this] {
        gossip();
    });
    // Gossip at once: a request that crashes targets may reach another VM before the next exchange is due.
    m_router.setSuspectListener([gossipThread = m_threads.back().get()] {
        gossipThread->runSoon();
    });
    add("allotment", allotmentInterval, [this] {
        reconcileAllotments();
    });
    add("observer", observeInterval, [this] {
        m_observer.tick(m_clock.now());
    });
    add("steering", steerInterval, [this] {
        steer();
    });
}

void Daemon::readVmList()
{
    const TimePoint now = m_clock.now();
    const Outcome<std::vector<ListedVm>> list = capture([&] {
        return m_dependencies.directory->list(Deadline::after(now, listTimeout));
    });
    if (list) {
        m_membership.takeList(list.value(), m_clock.now());
    } else if (!m_isListLost) {
        logEvent(DaemonEvents::listUnavailable, { { "reason", list.error().message } });
    }
    if (!list && m_membership.listedVms().empty()) {
        m_membership.takeList(m_settings.seedVms, m_clock.now());
    }
    m_isListLost = !list;
}

void Daemon::tickConfiguration()
{
    m_configurationManager.waitForWork(longestConfigurationWait);
    m_configurationManager.tick(m_clock.now());
}

void Daemon::reconcileAllotments()
{
    const TimePoint now = m_clock.now();
    m_limiter.refresh(now);
    // A holder that no VM knows, because all that knew it were replaced, must still be retired.
    for (const VmIncarnation &holder : m_limiter.shareHolders()) {
        m_configurationManager.noteProcess(holder);
    }
    if (m_serving.phase() == ServingState::Phase::Refusing) {
        m_allotments.release(now);
    } else {
        m_allotments.tick(now);
    }
}

void Daemon::gossip()
{
    const TimePoint now = m_clock.now();
    const Statement own = m_configurationManager.ownStatement(now);
    m_membership.updateOwn(own.version, own.pendingWithdrawals);
    m_membership.setFresh(m_configurationManager.isFresh(now));
    m_membership.setLeaving(m_serving.phase() != ServingState::Phase::Serving);
    m_gossip.tick(now);
}

void Daemon::steer()
{
    const TimePoint now = m_clock.now();
    const std::shared_ptr<const Configuration> configuration = m_configurationManager.configuration();
    std::vector<VmId> vmsOfRegion;
    for (const RosterVm &vm : m_membership.vms(now)) {
        if (vm.locality.region == m_settings.locality.region && !vm.isSuspect) {
            vmsOfRegion.push_back(vm.process.vm);
        }
    }
    if (configuration->version != m_targetsVersion || vmsOfRegion != m_targetsVms) {
        m_targets.update(*configuration, vmsOfRegion);
        m_targetsVersion = configuration->version;
        m_targetsVms = vmsOfRegion;
    }
    m_targets.tick();
    m_router.adjust(m_observations.currentUsages(now), [this](const ServiceId &service) {
        return m_targets.isSlow(service);
    });
}

void Daemon::registerGauges()
{
    m_metrics.gauge("sapphire_configuration_version", "", [this] {
        return static_cast<double>(m_configurationManager.configuration()->version.value());
    });
    m_metrics.gauge("sapphire_fresh", "", [this] {
        return m_configurationManager.isFresh(m_clock.now()) ? 1.0 : 0.0;
    });
    m_metrics.gauge("sapphire_running_requests", "", [this] {
        return static_cast<double>(m_serving.runningCount());
    });
    m_metrics.gauge("sapphire_caller_connections", "", [this] {
        return static_cast<double>(m_guard.connectionCount());
    });
    m_metrics.gauge("sapphire_request_ids", "", [this] {
        return static_cast<double>(m_ledger.recordCount());
    });
    m_metrics.gauge("sapphire_journal_waiting", "", [this] {
        return static_cast<double>(m_journal.pendingCount());
    });
    m_metrics.gauge("sapphire_fleet_channels", "", [this] {
        return static_cast<double>(m_fleetClient.channelCount());
    });
    m_metrics.gauge("sapphire_spans_dropped", "", [this] {
        return static_cast<double>(m_tracer.droppedSpans());
    });
}

OperatorServer::Health Daemon::health() const
{
    if (m_serving.phase() != ServingState::Phase::Serving) {
        return { false, "leaving" };
    }
    if (!m_configurationManager.isStarted(m_clock.now())) {
        return { false, "waiting for a configuration" };
    }
    if (!m_configurationManager.isFresh(m_clock.now())) {
        return { false, "not fresh" };
    }
    return { true, "serving" };
}

bool Daemon::isRetired() const
{
    return m_configurationManager.isSelfRetired() || m_membership.isSuperseded();
}

void Daemon::waitUntil(Deadline deadline, const std::function<bool()> &isUrgent) const
{
    while (!deadline.hasPassed(m_clock.now()) && !isUrgent()) {
        std::this_thread::sleep_for(stopPoll);
    }
}

int Daemon::stop(const std::function<bool()> &isUrgent)
{
    const TimePoint begin = m_clock.now();
    const Deadline last = Deadline::after(begin, m_settings.stopTimeout);
    logEvent(DaemonEvents::stopping, { { "vm", m_process.vm }, { "running", m_serving.runningCount() } });
    m_serving.setPhase(ServingState::Phase::Leaving);
    m_membership.setLeaving(true);
    bool isSecondSignal = false;
    const auto mustEnd = [&] {
        isSecondSignal = isSecondSignal || isUrgent();
        return isSecondSignal;
    };
    // A retired process must not admit requests, so it doesn't linger.
    const Milliseconds lingerTime = isRetired() ? Milliseconds(0) : m_settings.lingerTime;
    waitUntil(last.earlier(Deadline::after(begin, lingerTime)), mustEnd);
    m_serving.setPhase(ServingState::Phase::Refusing);
    logEvent(DaemonEvents::refusing, { { "running", m_serving.runningCount() } });
    waitUntil(last, [&] {
        return mustEnd() || m_serving.runningCount() == 0;
    });
    const int cut = m_serving.runningCount();
    if (cut > 0) {
        logEvent(DaemonEvents::requestsCut, { { "count", cut } });
    } else {
        std::this_thread::sleep_for(answerSendTime);
    }
    if (!m_journal.flush(Deadline::after(m_clock.now(), journalFlushTimeout))) {
        logEvent(DaemonEvents::journalLeft, { { "count", m_journal.pendingCount() } });
    }
    logEvent(DaemonEvents::stopped, { { "vm", m_process.vm }, { "cut", cut } });
    return cut;
}

} // namespace Sapphire
