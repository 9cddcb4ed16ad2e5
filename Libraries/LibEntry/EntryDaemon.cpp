#include <LibEntry/EntryDaemon.h>

#include <LibCore/Duration.h>
#include <LibEntry/EntryEvents.h>
#include <LibNet/SocketAddresses.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

// The list of VMs is read again this soon after the start, when VMs that started at the same time have entered, and
// when an unlisted VM sends a datagram; otherwise rarely, since each call to the platform has a cost.
constexpr Milliseconds firstVmInterval { 1'500 };
constexpr Milliseconds vmInterval { 45'000 };
constexpr Milliseconds vmRetryInterval { 1'000 };
// A VM that has been silent for this long is presumed dead, and its record is removed.
constexpr Milliseconds goneTime { 20'000 };
constexpr Milliseconds goneInterval { 5'000 };
constexpr Milliseconds callTime { 1'500 };
// The VMs find out within this time whether the platform has lost their records. All at once would exceed its rates.
constexpr Milliseconds enterAgainSpread { 2'000 };
constexpr Milliseconds lookUpTimeToLive { 2'000 };
constexpr int statusUnavailable = 503;
// Documents for other VMs may fill this part of the link (one half); the rest is for requests.
constexpr std::uint64_t documentShareOfLink = 2;

VmRecord ownRecord(const EntrySettings &settings, const Clock &clock)
{
    VmRecord own;
    own.vm = settings.gateway.vm;
    own.locality = settings.gateway.locality;
    own.callerAddress = settings.gateway.callerAddress;
    own.peerAddress = settings.peerAddress;
    own.processorShare = settings.processorShare;
    own.startedAtMilliseconds = std::chrono::duration_cast<Milliseconds>(clock.wallTime()).count();
    return own;
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings settings, PlatformAdapter adapter, std::unique_ptr<BootClock> clock,
                         std::unique_ptr<EventLoop> loop)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_clock(std::move(clock))
    , m_loop(std::move(loop))
    , m_own(ownRecord(m_settings, *m_clock))
    , m_roster(m_own.vm, m_own.locality, {})
    , m_goneTimer(*m_loop,
                  [this] {
                      findGoneVms();
                  })
    , m_enterAgainTimer(*m_loop, [this] {
        m_vmListPoller->runSoon();
    })
{
}

EntryDaemon::~EntryDaemon() = default;

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::create(EntrySettings settings, PlatformAdapter adapter)
{
    auto clock = std::make_unique<BootClock>();
    BOOST_LEAF_AUTO(loop, EventLoop::create(*clock));
    std::unique_ptr<EntryDaemon> daemon(
        new EntryDaemon(std::move(settings), std::move(adapter), std::move(clock), std::move(loop)));
    BOOST_LEAF_CHECK(daemon->startServers());
    daemon->startSynchronizers();
    return daemon;
}

Result<void> EntryDaemon::startServers()
{
    BOOST_LEAF_ASSIGN(m_gateway, Gateway::create(*m_loop, m_settings.gateway, m_metrics));
    m_metrics.gauge("sapphire_configuration_version", "", [this] {
        return m_gateway->rules() ? static_cast<double>(m_gateway->rules()->version().value()) : 0;
    });
    BOOST_LEAF_ASSIGN(m_peers,
                      PeerNetwork::create(*m_loop, m_own, m_roster, m_gateway->quotas(),
                                          BytesPerSecond(m_settings.linkRate.value() / documentShareOfLink)));
    registerPeerMetrics();
    m_gateway->quotaWaiters().setSource(*this);
    m_gateway->dispatcher().setDemandSource(*this);
    m_peers->onSuspect([this](const CrashSuspect &suspect) {
        m_gateway->crashMonitor().merge(suspect, m_loop->now());
    });
    m_gateway->setSuspectBroadcaster([this](const CrashSuspect &suspect) {
        m_peers->broadcastSuspect(suspect);
    });
    m_peers->setSuspectProvider([this](std::size_t count) {
        return m_gateway->crashMonitor().worstSuspects(count, m_loop->now());
    });
    m_peers->setDemandProvider([this] {
        return m_gateway->dispatcher().demand();
    });
    m_peers->onUnknownSender([this] {
        if (m_vmListPoller) {
            m_vmListPoller->runSoon();
        }
    });
    m_peers->onTokens([this] {
        m_gateway->quotaWaiters().serve();
    });
    BOOST_LEAF_ASSIGN(m_readinessServer, serve(m_settings.readinessAddress, m_adapter.readinessPath, [this] {
                          return readiness();
                      }));
    BOOST_LEAF_ASSIGN(m_lookUpServer, serve(m_settings.lookUpAddress, m_adapter.lookUpPath, [this] {
                          return lookUp();
                      }));
    BOOST_LEAF_ASSIGN(m_metricsServer, serve(m_settings.metricsAddress, "/metrics", [this] {
                          return metrics();
                      }));
    return {};
}

void EntryDaemon::registerPeerMetrics()
{
    const auto gauge = [this](const char *name, std::uint64_t PeerStatistics::*value) {
        m_metrics.gauge(name, "", [this, value] {
            return static_cast<double>(m_peers->statistics().*value);
        });
    };
    gauge("sapphire_peer_sent_bytes", &PeerStatistics::sentBytes);
    gauge("sapphire_peer_refused_datagrams", &PeerStatistics::refusedDatagrams);
    gauge("sapphire_peer_documents_sent", &PeerStatistics::sentDocuments);
    gauge("sapphire_peer_documents_received", &PeerStatistics::receivedDocuments);
    gauge("sapphire_peer_documents_lost", &PeerStatistics::lostDocuments);
}

Result<std::unique_ptr<SimpleHttpServer>> EntryDaemon::serve(const std::optional<Ipv4Endpoint> &address,
                                                             const std::string &path,
                                                             std::function<SimpleAnswer()> answer)
{
    if (!address) {
        return nullptr;
    }
    return SimpleHttpServer::create(*m_loop, socketAddressOf(*address),
                                    { { path, [answer = std::move(answer)](const HttpHead &) {
                                           return answer();
                                       } } });
}

void EntryDaemon::startSynchronizers()
{
    const SynchronizerContext context { *m_loop, *m_peers, m_roster, m_own.vm };
    m_operatorStateSynchronizer = std::make_unique<OperatorStateSynchronizer>(
        context, *m_adapter.operatorState, [this](const OperatorState &state) {
            if (state.rules) {
                m_gateway->applyRules(state.rules, state.origin);
            }
            m_isConfigurationUnreadable = state.isConfigurationUnreadable;
            m_gateway->applyEvacuations(state.evacuatedZones);
        });
    m_metrics.gauge("sapphire_rules_behind_seconds", "", [this] {
        return std::chrono::duration<double>(m_operatorStateSynchronizer->behindFor()).count();
    });
    m_operatorStateSynchronizer->onEpochRisen([this] {
        // The copy may lack this VM's record.
        m_enterAgainTimer.start(Deadline::after(m_loop->now(), scaled(enterAgainSpread, m_random.unit())));
    });
    m_metrics.gauge("sapphire_platform_epoch", "", [this] {
        return static_cast<double>(m_operatorStateSynchronizer->epoch().value());
    });
    m_gateway->setRulesConfirmation([this] {
        const OperatorStateSynchronizer &synchronizer = *m_operatorStateSynchronizer;
        return RulesConfirmation { synchronizer.confirmedAt(),
                                   synchronizer.isIncomplete() || synchronizer.isAwaitingRewrite()
                                       || m_isConfigurationUnreadable,
                                   synchronizer.status().revision };
    });
    m_targetListSynchronizer =
        std::make_unique<TargetListSynchronizer>(context, TargetListSynchronizerSettings { m_settings.isFirstStart },
                                                 *m_adapter.targetList, [this](const TargetListChange &change) {
                                                     m_gateway->applyTargets(change);
                                                 });
    m_peers->onTargetSyncRequest([this](const VmId &asker, const ShortDigests &digests) {
        m_targetListSynchronizer->answerSyncRequest(asker, digests);
    });
    m_peers->onTargetSyncReply([this](const TargetSyncReply &reply) {
        m_targetListSynchronizer->takeSyncReply(reply);
    });
    m_peers->onRulesRequest([this](const VmId &asker, std::uint64_t digest) {
        m_operatorStateSynchronizer->answerRulesRequest(asker, digest);
    });
    m_peers->onRulesReply([this](const SourceUpdate &reply) {
        m_operatorStateSynchronizer->takeRulesReply(reply);
    });
    m_peers->onRulesStatus([this](const VmId &vm, const RulesStatus &status) {
        m_operatorStateSynchronizer->takeStatus(vm, status);
    });
    m_peers->setRulesStatusProvider([this] {
        return m_operatorStateSynchronizer->status();
    });
    m_peers->onUpdate([this](const SourceUpdate &update) {
        m_operatorStateSynchronizer->takeUpdate(update);
        m_targetListSynchronizer->takeUpdate(update);
    });
    m_operatorStateSynchronizer->start({ EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack });
    m_targetListSynchronizer->start({ EntryEvents::targetListLost, EntryEvents::targetListBack });
    SourcePollerSettings vms { EntryEvents::vmRegistryLost, EntryEvents::vmRegistryBack };
    vms.interval = vmInterval;
    vms.retryInterval = vmRetryInterval;
    vms.shortestInterval = firstVmInterval;
    m_goneTimer.start(Deadline::after(m_loop->now(), goneInterval));
    m_vmListPoller = std::make_unique<SourcePoller>(vms, *m_clock, [this] {
        return synchronizeVmList();
    });
}

void EntryDaemon::run()
{
    m_loop->run();
}

void EntryDaemon::stop()
{
    post([this] {
        m_peers->leave();
        m_gateway->leave([this] {
            m_loop->stop();
        });
    });
}

void EntryDaemon::reload(const EntrySettings &settings)
{
    post([this, settings] {
        m_gateway->reconfigure(settings.gateway);
        m_settings.longestLookUpTimeToLive = settings.longestLookUpTimeToLive;
        const bool needsRestart = settings.platformAddress != m_settings.platformAddress
            || settings.gateway.callerAddress != m_settings.gateway.callerAddress
            || settings.gateway.locality != m_settings.gateway.locality;
        logEvent(EntryEvents::settingsReloaded, { { "needsRestart", needsRestart } });
    });
}

void EntryDaemon::post(EventLoop::Task task)
{
    if (!m_loop->post(std::move(task))) {
        logEvent(EntryEvents::loopOverloaded, {});
    }
}

Result<void> EntryDaemon::synchronizeVmList()
{
    const TimePoint begunAt = m_clock->now();
    BOOST_LEAF_AUTO(list, m_adapter.vmRegistry->next(Milliseconds(0), Deadline::after(begunAt, callTime)));
    const Microseconds roundTrip = m_clock->now() - begunAt;
    const Deadline writeDeadline = Deadline::after(m_clock->now(), callTime);
    const std::vector<VmRecord> &vms = list.records;
    const auto own = std::find_if(vms.begin(), vms.end(), [this](const VmRecord &record) {
        return record.vm == m_own.vm;
    });
    // A process that restarts at the same addresses is found by the record of its predecessor.
    const bool isEntered = own != vms.end() && own->callerAddress == m_own.callerAddress
        && own->peerAddress == m_own.peerAddress && own->locality == m_own.locality
        && own->processorShare == m_own.processorShare;
    if (!isEntered) {
        VmRecord record = m_own;
        record.platformRoundTrip = roundTrip;
        BOOST_LEAF_CHECK(m_adapter.vmRegistry->enter(record, writeDeadline));
        // On the loop's thread, since the poller may still be under construction.
        post([this] {
            m_vmListPoller->runSoon();
        });
    }
    for (const VmId &vm : takeGoneVms()) {
        BOOST_LEAF_CHECK(m_adapter.vmRegistry->leave(vm, writeDeadline));
    }
    post([this, list = std::move(list)] {
        applyVms(list);
    });
    return {};
}

std::vector<VmId> EntryDaemon::takeGoneVms()
{
    const std::lock_guard guard(m_goneMutex);
    return std::exchange(m_goneVms, {});
}

void EntryDaemon::findGoneVms()
{
    const TimePoint now = m_loop->now();
    const std::vector<VmRecord> serving = m_roster.serving(now);
    // One VM of the region removes the records for all. A VM that was removed by mistake enters again.
    if (!serving.empty() && serving.front().vm == m_own.vm) {
        const std::lock_guard guard(m_goneMutex);
        m_goneVms = m_roster.silentFor(goneTime, now);
    }
    m_goneTimer.start(Deadline::after(now, goneInterval));
}

void EntryDaemon::applyVms(const VmList &list)
{
    const std::vector<VmRecord> records = m_vmListGuard.take(list.records, list.epoch, m_loop->now());
    m_peers->applyRecords(records);
    std::vector<RendezvousCandidate> vms { { m_own.vm, m_own.locality.region } };
    for (const VmRecord &record : records) {
        if (record.vm != m_own.vm) {
            vms.push_back({ record.vm, record.locality.region });
        }
    }
    m_gateway->applyVms(VmsByRegion(vms));
    m_operatorStateSynchronizer->check();
    m_targetListSynchronizer->check();
}

void EntryDaemon::requestTokens(const CustomerId &customer)
{
    m_peers->loans().requestLoanFor(customer, m_loop->now());
}

bool EntryDaemon::mayReceiveTokens(const CustomerId &customer)
{
    return m_peers->loans().mayReceiveTokens(customer, m_loop->now());
}

std::map<RegionId, Demand> EntryDaemon::demandFor(const ServiceId &service)
{
    return m_peers->demands().demandFor(service, m_loop->now());
}

SimpleAnswer EntryDaemon::readiness() const
{
    return { m_gateway->isReady() ? 200 : statusUnavailable, {}, {} };
}

SimpleAnswer EntryDaemon::lookUp() const
{
    std::vector<std::string> addresses;
    for (const VmRecord &vm : m_roster.serving(m_loop->now())) {
        addresses.push_back(vm.callerAddress.text());
    }
    if (addresses.empty()) {
        addresses.push_back(m_own.callerAddress.text());
    }
    return m_adapter.writeLookUp(addresses, lookUpTimeToLive);
}

SimpleAnswer EntryDaemon::metrics() const
{
    return { 200, "text/plain; version=0.0.4", m_metrics.prometheusText() };
}

} // namespace Sapphire
