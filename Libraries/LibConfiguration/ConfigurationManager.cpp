#include <LibConfiguration/ConfigurationManager.h>

#include <LibConfiguration/ApplyCommand.h>
#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ConfigurationEvents.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

constexpr std::size_t rowsPerRead = 256;
/// How often a writer tries again after losing to other writers before it tells its caller to retry.
constexpr int mostWriteAttempts = 16;
/// Each exchange with another VM may hint at a newer version. In a fleet of 730 VMs, that must not cause a burst of
/// reads.
constexpr Microseconds shortestPollInterval { 500'000 };
/// The number of other VMs that must know a withdrawal before it is accepted without the store.
constexpr std::size_t neededAcknowledgements = 2;
constexpr Microseconds spreadTimeout { 1'000'000 };
/// A VM waits this long, times its rank among the VMs, before it writes a withdrawal that another VM accepted.
constexpr Microseconds withdrawalDelayPerRank { 2'000'000 };
/// The age of statements of a VM that has not started: far above the freshness limit, so that receivers ignore them.
constexpr Microseconds expiredAge { 3'600'000'000 };
constexpr Microseconds inForcePollInterval { 50'000 };
/// Copying and comparing the roster of 730 VMs more often than it changes would be wasted work.
constexpr Microseconds observationInterval { 1'000'000 };

} // namespace

std::string_view nameOf(ReceiptState state)
{
    static constexpr std::array<std::string_view, 3> names { "in force", "recorded", "accepted, not durable" };
    return names.at(static_cast<std::size_t>(state));
}

Result<std::unique_ptr<ConfigurationManager>> ConfigurationManager::create(ConfigurationManagerSettings settings,
                                                                           ConfigurationLog &log, const Clock &clock)
{
    if (settings.self.vm.isEmpty() || settings.self.incarnation == Incarnation {}
        || settings.locality.region.isEmpty()) {
        return fail(ErrorCode::InvalidArgument,
                    "the settings of the configuration manager lack the VM, incarnation or region");
    }
    return std::unique_ptr<ConfigurationManager>(new ConfigurationManager(std::move(settings), log, clock));
}

ConfigurationManager::ConfigurationManager(ConfigurationManagerSettings settings, ConfigurationLog &log,
                                           const Clock &clock)
    : m_log(log), m_clock(clock), m_settings(std::move(settings))
{
}

void ConfigurationManager::connect(const Roster &roster, WithdrawalSpreader &spreader)
{
    m_roster = &roster;
    m_spreader = &spreader;
}

Result<void> ConfigurationManager::start(Deadline deadline)
{
    observeFleet(m_clock.now());
    const Outcome<void> loaded = capture([&] {
        return load(deadline);
    });
    const std::string source = loaded ? "store" : "other VMs";
    if (!loaded && !isStarted(m_clock.now())) {
        return fail(ErrorCode::Unavailable,
                    "the store doesn't answer, and no majority of the regions has sent its "
                    "configuration: "
                        + loaded.error().message);
    }
    logEvent(ConfigurationEvents::started, { { "version", configuration()->version }, { "source", source } });
    return {};
}

bool ConfigurationManager::isStarted(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    isFreshLocked(now);
    return m_freshness.isStarted();
}

void ConfigurationManager::tick(TimePoint now)
{
    if (isObservationDue(now)) {
        observeFleet(now);
    }
    if (!isPollDue(now) || !poll()) {
        return;
    }
    writePendingWithdrawals(now);
    retireProcesses(now);
    writeSnapshotIfDue();
}

void ConfigurationManager::waitForWork(Microseconds longest)
{
    std::unique_lock lock(m_mutex);
    m_work.wait_for(lock, longest, [this] {
        return m_isWoken;
    });
    m_isWoken = false;
}

void ConfigurationManager::wake()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isWoken = true;
    }
    m_work.notify_all();
}

void ConfigurationManager::noteTick(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    m_freshness.noteTick(now);
}

Result<Receipt> ConfigurationManager::submit(const Command &command, Deadline deadline)
{
    Command stamped = command;
    if (stamped.wallTime == Microseconds::zero()) {
        stamped.wallTime = m_clock.wallTime();
    }
    if (const auto *withdraw = std::get_if<WithdrawKey>(&stamped.body)) {
        return submitWithdrawal(stamped, withdraw->key, deadline);
    }
    const auto *grant = std::get_if<GrantKey>(&stamped.body);
    if (grant != nullptr && isWithdrawn(grant->key)) {
        return fail(ErrorCode::Conflict, "key " + grant->key.text() + " is withdrawn; key ids are never reused");
    }
    BOOST_LEAF_AUTO(version, record(stamped, deadline));
    return receiptOf(version);
}

Receipt ConfigurationManager::awaitInForce(ConfigurationVersion version, Deadline deadline)
{
    Receipt receipt = receiptOf(version);
    while (receipt.state != ReceiptState::InForce && !deadline.hasPassed(m_clock.now())) {
        {
            std::unique_lock lock(m_mutex);
            m_work.wait_for(lock, std::min(inForcePollInterval, deadline.remaining(m_clock.now())));
        }
        receipt = receiptOf(version);
    }
    return receipt;
}

void ConfigurationManager::noteProcess(const VmIncarnation &process)
{
    const std::lock_guard guard(m_mutex);
    m_retirementMonitor.note(process, m_clock.now());
}

bool ConfigurationManager::isSelfRetired() const
{
    const std::lock_guard guard(m_mutex);
    return m_replica.configuration()->isRetired(m_settings.self);
}

void ConfigurationManager::renew(Incarnation incarnation)
{
    const std::lock_guard guard(m_mutex);
    m_settings.self.incarnation = std::max(m_settings.self.incarnation, incarnation);
    m_isRetirementLogged = false;
}

std::string ConfigurationManager::snapshot() const
{
    return ConfigurationCodec::encode(*configuration());
}

Result<void> ConfigurationManager::takeSnapshot(const std::string &text)
{
    BOOST_LEAF_AUTO(decoded, ConfigurationCodec::decode(text));
    auto shared = std::make_shared<const Configuration>(std::move(decoded));
    const std::lock_guard guard(m_mutex);
    m_replica.adopt(std::move(shared));
    return {};
}

std::shared_ptr<const Configuration> ConfigurationManager::configuration() const
{
    const std::lock_guard guard(m_mutex);
    return m_replica.configuration();
}

bool ConfigurationManager::isFresh(TimePoint now) const
{
    bool hasChanged = false;
    bool isNowFresh = false;
    {
        const std::lock_guard guard(m_mutex);
        isNowFresh = isFreshLocked(now);
        hasChanged = isNowFresh != m_wasFresh;
        m_wasFresh = isNowFresh;
        if (hasChanged && !isNowFresh) {
            m_isPollHinted = true;
            m_isWoken = true;
        }
    }
    if (hasChanged) {
        m_work.notify_all();
        logEvent(isNowFresh ? ConfigurationEvents::freshnessRegained : ConfigurationEvents::freshnessLost, {});
    }
    return isNowFresh;
}

bool ConfigurationManager::isWithdrawn(const KeyId &key) const
{
    const std::lock_guard guard(m_mutex);
    return m_replica.isWithdrawn(key);
}

InForceStatus ConfigurationManager::inForceStatus(ConfigurationVersion version, TimePoint now) const
{
    const std::vector<RosterVm> vms = rosterWithSelf(now);
    const std::lock_guard guard(m_mutex);
    m_inForceTracker.observe(vms, now);
    return m_inForceTracker.status(version, m_replica.configuration()->regions, now);
}

Statement ConfigurationManager::ownStatement(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    return ownStatementLocked(now);
}

std::vector<LogEntry> ConfigurationManager::entriesAfter(ConfigurationVersion version, std::size_t limit) const
{
    const std::lock_guard guard(m_mutex);
    return m_replica.entriesAfter(version, limit);
}

void ConfigurationManager::takeEntries(const std::vector<LogEntry> &entries)
{
    const std::lock_guard guard(m_mutex);
    for (const LogEntry &entry : entries) {
        m_replica.apply(entry);
    }
}

bool ConfigurationManager::takeWithdrawals(const std::set<KeyId> &keys)
{
    const TimePoint now = m_clock.now();
    const std::lock_guard guard(m_mutex);
    const bool isAnyNew = m_replica.addWithdrawals(keys);
    for (const KeyId &key : m_replica.pendingWithdrawals()) {
        m_pendingWithdrawals.try_emplace(key, PendingWithdrawal { now, false });
    }
    return isAnyNew;
}

void ConfigurationManager::takeStatement(const Statement &statement, TimePoint now)
{
    takeWithdrawals(statement.pendingWithdrawals);
    hintVersion(statement.version);
    const std::lock_guard guard(m_mutex);
    m_freshness.takeStatement(statement, now);
}

std::vector<Statement> ConfigurationManager::newestStatements(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    std::vector<Statement> statements = m_freshness.newestPerRegion(now);
    if (m_freshness.isStarted()) {
        std::erase_if(statements, [this](const Statement &statement) {
            return statement.region == m_settings.locality.region;
        });
        statements.push_back(ownStatementLocked(now));
    }
    return statements;
}

void ConfigurationManager::hintVersion(ConfigurationVersion version)
{
    {
        const std::lock_guard guard(m_mutex);
        if (version <= m_replica.configuration()->version) {
            return;
        }
        m_isPollHinted = true;
        m_isWoken = true;
    }
    m_work.notify_all();
}

Result<void> ConfigurationManager::refresh(Deadline deadline)
{
    std::size_t count = rowsPerRead;
    while (count == rowsPerRead) {
        const ConfigurationVersion version = configuration()->version;
        const TimePoint sentAt = m_clock.now();
        BOOST_LEAF_AUTO(entries, m_log.readAfter(version, rowsPerRead, deadline));
        takeEntries(entries);
        count = entries.size();
        if (count < rowsPerRead) {
            const std::lock_guard guard(m_mutex);
            m_freshness.noteStoreContact(sentAt);
        }
    }
    return {};
}

Result<void> ConfigurationManager::load(Deadline deadline)
{
    if (configuration()->version == ConfigurationVersion()) {
        Outcome<Configuration> snapshot = capture([&] {
            return m_log.loadSnapshot(deadline);
        });
        // Without the snapshot, refresh() reads all rows, which takes longer.
        if (snapshot) {
            auto shared = std::make_shared<const Configuration>(std::move(snapshot.value()));
            const std::lock_guard guard(m_mutex);
            m_replica.adopt(std::move(shared));
        }
    }
    return refresh(deadline);
}

Result<ConfigurationVersion> ConfigurationManager::record(const Command &command, Deadline deadline)
{
    for (int attempt = 0; attempt < mostWriteAttempts; ++attempt) {
        const Outcome<void> refreshed = capture([&] {
            return load(deadline);
        });
        if (!refreshed) {
            return fail(ErrorCode::Unavailable,
                        "the store doesn't answer, and only withdrawals of keys are accepted "
                        "without it: "
                            + refreshed.error().message);
        }
        const std::shared_ptr<const Configuration> current = configuration();
        if (const auto earlier = versionOfCommand(*current, command.id)) {
            return *earlier;
        }
        const LogEntry entry { current->version.next(), command };
        BOOST_LEAF_CHECK(applyCommand(*current, command, entry.version));
        const Outcome<AppendOutcome> appended = capture([&] {
            return m_log.append(entry, deadline);
        });
        if (!appended) {
            logEvent(ConfigurationEvents::changeUncertain,
                     { { "command", command.id }, { "error", appended.error().message } });
            return fail(appended.error());
        }
        if (appended.value() == AppendOutcome::Taken) {
            continue;
        }
        takeEntries({ entry });
        logEvent(ConfigurationEvents::changeRecorded,
                 { { "version", entry.version }, { "command", command.id }, { "operator", command.operatorId } });
        if (entry.version.value() % snapshotInterval == 0) {
            const std::lock_guard guard(m_mutex);
            m_snapshotDue = entry.version;
        }
        return entry.version;
    }
    return fail(ErrorCode::Unavailable, "other changes came first each time; send the command again");
}

Result<Receipt> ConfigurationManager::submitWithdrawal(const Command &command, const KeyId &key, Deadline deadline)
{
    BOOST_LEAF_CHECK(checkWithdrawal(command, key, deadline));
    if (const auto version = withdrawnIn(key)) {
        return receiptOf(*version);
    }
    takeWithdrawals({ key });
    {
        const std::lock_guard guard(m_mutex);
        m_pendingWithdrawals[key].wasAcceptedHere = true;
    }
    // Withdraw the key on the VMs before calling the store, which may not answer until the deadline in an outage.
    const Deadline spreadDeadline = Deadline::after(m_clock.now(), spreadTimeout).earlier(deadline);
    const std::size_t acknowledgements = m_spreader == nullptr ? 0 : m_spreader->spread({ key }, spreadDeadline);
    const Outcome<ConfigurationVersion> recorded = capture([&] {
        return record(command, deadline);
    });
    if (recorded) {
        return receiptOf(recorded.value());
    }
    if (const auto version = withdrawnIn(key)) {
        return receiptOf(*version);
    }
    logEvent(ConfigurationEvents::withdrawalPending,
             { { "key", key }, { "acknowledgements", acknowledgements }, { "error", recorded.error().message } });
    if (acknowledgements >= neededAcknowledgements) {
        return Receipt { configuration()->version, ReceiptState::AcceptedNotDurable, vmsUnawareOf(key, m_clock.now()) };
    }
    return fail(ErrorCode::Unavailable,
                "key " + key.text()
                    + " is withdrawn on this VM, but the store doesn't answer "
                      "and "
                    + std::to_string(acknowledgements) + " other VMs acknowledged, expected "
                    + std::to_string(neededAcknowledgements),
                Verdict::MayHaveRun);
}

Result<void> ConfigurationManager::checkWithdrawal(const Command &command, const KeyId &key, Deadline deadline)
{
    if (!configuration()->keys.contains(key)) {
        // The key may have been granted after this VM's version. In an outage, the command is checked against that
        // version.
        const Deadline readDeadline = Deadline::after(m_clock.now(), m_settings.storeTimeout).earlier(deadline);
        [[maybe_unused]] const Outcome<void> refreshed = capture([&] {
            return load(readDeadline);
        });
    }
    if (withdrawnIn(key)) {
        return {};
    }
    const std::shared_ptr<const Configuration> current = configuration();
    BOOST_LEAF_CHECK(applyCommand(*current, command, current->version.next()));
    return {};
}

Receipt ConfigurationManager::receiptOf(ConfigurationVersion version) const
{
    const InForceStatus status = inForceStatus(version, m_clock.now());
    return { version, status.isInForce ? ReceiptState::InForce : ReceiptState::Recorded, status.unconfirmed };
}

std::optional<ConfigurationVersion> ConfigurationManager::withdrawnIn(const KeyId &key) const
{
    const std::shared_ptr<const Configuration> current = configuration();
    const auto found = current->keys.find(key);
    if (found == current->keys.end() || !found->second.isWithdrawn) {
        return std::nullopt;
    }
    return found->second.lastChange.version;
}

void ConfigurationManager::observeFleet(TimePoint now) const
{
    if (m_roster == nullptr) {
        return;
    }
    const std::vector<RosterVm> vms = rosterWithSelf(now);
    const std::set<VmId> listed = m_roster->listedVms();
    std::set<VmId> members = listed;
    // A VM that started while the platform's list can't be read knows only the VMs learnt from other VMs.
    if (listed.empty()) {
        for (const RosterVm &vm : vms) {
            members.insert(vm.process.vm);
        }
    }
    const std::lock_guard guard(m_mutex);
    m_members = std::move(members);
    m_inForceTracker.observe(vms, now);
    m_retirementMonitor.observe(vms, listed, now);
}

bool ConfigurationManager::isObservationDue(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    if (m_lastObservation && now - *m_lastObservation < observationInterval) {
        return false;
    }
    m_lastObservation = now;
    return true;
}

bool ConfigurationManager::isPollDue(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    const Microseconds interval = m_isPollHinted ? shortestPollInterval : m_settings.pollInterval;
    if (m_lastPoll && now - *m_lastPoll < std::min(interval, m_settings.pollInterval)) {
        return false;
    }
    m_lastPoll = now;
    m_isPollHinted = false;
    return true;
}

bool ConfigurationManager::poll()
{
    const Outcome<void> loaded = capture([&] {
        return load(Deadline::after(m_clock.now(), m_settings.storeTimeout));
    });
    const bool isReachable = static_cast<bool>(loaded);
    bool hasChanged = false;
    bool isNewlyRetired = false;
    {
        const std::lock_guard guard(m_mutex);
        hasChanged = isReachable != m_isStoreReachable;
        m_isStoreReachable = isReachable;
        isNewlyRetired = !m_isRetirementLogged && m_replica.configuration()->isRetired(m_settings.self);
        m_isRetirementLogged = m_isRetirementLogged || isNewlyRetired;
    }
    if (hasChanged && isReachable) {
        logEvent(ConfigurationEvents::storeReachable, {});
    } else if (hasChanged) {
        logEvent(ConfigurationEvents::storeUnreachable, { { "error", loaded.error().message } });
    }
    if (isNewlyRetired) {
        logEvent(ConfigurationEvents::selfRetired, {});
    }
    return isReachable;
}

void ConfigurationManager::writePendingWithdrawals(TimePoint now)
{
    std::vector<KeyId> due;
    {
        const std::lock_guard guard(m_mutex);
        std::erase_if(m_pendingWithdrawals, [this](const auto &pending) {
            return !m_replica.pendingWithdrawals().contains(pending.first);
        });
        for (const auto &[key, pending] : m_pendingWithdrawals) {
            const auto rank = static_cast<Microseconds::rep>(rankOf(m_settings.self.vm, m_members, key.text()));
            const bool isTurn = pending.wasAcceptedHere || now - pending.since >= withdrawalDelayPerRank * rank;
            if (isTurn && m_replica.configuration()->keys.contains(key)) {
                due.push_back(key);
            }
        }
    }
    for (const KeyId &key : due) {
        const Deadline deadline = Deadline::after(m_clock.now(), m_settings.storeTimeout);
        const Outcome<ConfigurationVersion> recorded = capture([&] {
            return record(ownCommand("withdrawal/" + key.text(), WithdrawKey { key }), deadline);
        });
        if (recorded) {
            logEvent(ConfigurationEvents::withdrawalRecorded, { { "key", key }, { "version", recorded.value() } });
        }
    }
}

void ConfigurationManager::retireProcesses(TimePoint now)
{
    std::vector<VmIncarnation> due;
    {
        const std::lock_guard guard(m_mutex);
        due = m_retirementMonitor.due(m_settings.self.vm, *m_replica.configuration(), now);
    }
    for (const VmIncarnation &process : due) {
        const std::string incarnation = std::to_string(process.incarnation.value());
        const Deadline deadline = Deadline::after(m_clock.now(), m_settings.storeTimeout);
        const Outcome<ConfigurationVersion> recorded = capture([&] {
            return record(ownCommand("retirement/" + process.vm.text() + "/" + incarnation, RetireVm { process }),
                          deadline);
        });
        if (recorded) {
            logEvent(ConfigurationEvents::vmRetired,
                     { { "vm", process.vm }, { "incarnation", incarnation }, { "version", recorded.value() } });
        }
    }
}

void ConfigurationManager::writeSnapshotIfDue()
{
    {
        const std::lock_guard guard(m_mutex);
        if (!m_snapshotDue) {
            return;
        }
    }
    const Outcome<void> written = capture([&] {
        return m_log.writeSnapshot(*configuration(), Deadline::after(m_clock.now(), m_settings.storeTimeout));
    });
    if (!written) {
        logEvent(ConfigurationEvents::snapshotFailed, { { "error", written.error().message } });
        return;
    }
    const std::lock_guard guard(m_mutex);
    m_snapshotDue.reset();
}

Command ConfigurationManager::ownCommand(const std::string &id, CommandBody body) const
{
    return { CommandId(id), OperatorId(m_settings.self.vm.text()), std::nullopt, m_clock.wallTime(), std::move(body) };
}

std::vector<RosterVm> ConfigurationManager::rosterWithSelf(TimePoint now) const
{
    std::vector<RosterVm> vms;
    if (m_roster != nullptr) {
        vms = m_roster->vms(now);
    }
    const std::lock_guard guard(m_mutex);
    std::erase_if(vms, [this](const RosterVm &vm) {
        return vm.process.vm == m_settings.self.vm;
    });
    RosterVm self;
    self.process = m_settings.self;
    self.locality = m_settings.locality;
    self.confirmedVersion = m_replica.configuration()->version;
    self.knownWithdrawals = m_replica.pendingWithdrawals();
    vms.push_back(std::move(self));
    return vms;
}

std::vector<VmId> ConfigurationManager::vmsUnawareOf(const KeyId &key, TimePoint now) const
{
    std::vector<VmId> unaware;
    for (const RosterVm &vm : rosterWithSelf(now)) {
        if (!vm.knownWithdrawals.contains(key)) {
            unaware.push_back(vm.process.vm);
        }
    }
    return unaware;
}

FreshnessView ConfigurationManager::view() const
{
    return { m_settings.self, m_settings.locality.region, *m_replica.configuration(), m_replica.pendingWithdrawals(),
             m_members };
}

bool ConfigurationManager::isFreshLocked(TimePoint now) const
{
    return m_freshness.isFresh(view(), now);
}

Statement ConfigurationManager::ownStatementLocked(TimePoint now) const
{
    // A VM that has not started may have had a newer version in an earlier process, so its statement must not count.
    const TimePoint statedAt = m_freshness.isStarted() ? now : now - expiredAge;
    return { m_settings.self, m_settings.locality.region, statedAt, m_replica.configuration()->version,
             m_replica.pendingWithdrawals() };
}

} // namespace Sapphire
