#pragma once

#include <LibConfiguration/ConfigurationExchange.h>
#include <LibConfiguration/ConfigurationLog.h>
#include <LibConfiguration/ConfigurationReplica.h>
#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/ForceTracker.h>
#include <LibConfiguration/Freshness.h>
#include <LibConfiguration/RetirementWatch.h>
#include <LibConfiguration/Roster.h>
#include <LibConfiguration/WithdrawalSpreader.h>
#include <LibCore/Clock.h>

#include <condition_variable>
#include <mutex>

namespace Sapphire {

struct KeeperSettings
{
    VmIncarnation self;
    Locality place;
    Microseconds pollInterval { 2'000'000 };
    /// The longest time that the duty thread waits for the store in one go.
    Microseconds storeTimeout { 2'000'000 };
};

enum class ReceiptState {
    InForce, ///< No VM can serve by an older version any more.
    Recorded, ///< In the log, but some VMs may not follow it yet.
    AcceptedNotDurable, ///< A withdrawal that several VMs know and that is not in the log yet.
};

/// Returns the state as it stands in answers to operators.
std::string_view nameOf(ReceiptState state);

/// What became of a command.
struct Receipt
{
    ConfigurationVersion version; ///< The change's version, or the VM's own if the change is not durable.
    ReceiptState state { ReceiptState::Recorded };
    std::vector<VmId> unconfirmed; ///< VMs that have not confirmed the change.
};

/// Keeps this VM's configuration up to date, records the commands of operators, and knows whether the VM is fresh.
/// Safe to call from any thread; only submit(), start() and tick() wait for the store or other VMs.
class ConfigurationKeeper final : public ConfigurationSource, public ConfigurationExchange
{
public:
    /// The log and clock must outlive the keeper. Fails with InvalidArgument if the settings name no process or region.
    [[nodiscard]] static Result<std::unique_ptr<ConfigurationKeeper>> create(KeeperSettings settings,
                                                                             ConfigurationLog &log, const Clock &clock);

    /// Joins the keeper with the fleet, which needs the keeper first. To be called before start().
    void connect(const Roster &roster, WithdrawalSpreader &spreader);

    /// Loads the configuration from the store. In an outage of the store it succeeds if other VMs in a majority of the
    /// regions have told theirs, and fails with Unavailable until then; tick() goes on trying.
    [[nodiscard]] Result<void> start(Deadline deadline);
    /// Returns whether the VM has had a configuration that can't be older than what its former process followed.
    bool isStarted(TimePoint now) const;

    /// One round of the configuration duty: polls the store if due, writes pending withdrawals, retires processes.
    void tick(TimePoint now);
    /// Waits until tick() has urgent work, wake() is called or the interval has passed.
    void waitForWork(Microseconds longest);
    void wake();
    /// Takes note that the process runs; to be called by the tick thread every 50 ms.
    void noteTick(TimePoint now);

    /// Records a command. Fails with InvalidArgument, NotFound or Conflict if the command can't be applied, and with
    /// Unavailable if the store doesn't answer; verdict MayHaveRun then says that the command may take effect.
    /// A command that is sent again with the same id takes effect once and gets the receipt of its change.
    [[nodiscard]] Result<Receipt> submit(const Command &command, Deadline deadline);
    /// Waits until the change is in force or the deadline has passed.
    Receipt awaitForce(ConfigurationVersion version, Deadline deadline);

    /// Takes note of a process found outside the fleet's knowledge, such as the holder of an allotment, so that it is
    /// retired if the platform's list doesn't show it.
    void noteProcess(const VmIncarnation &process);
    /// Returns whether the own process is retired and has to go on under a new incarnation.
    bool isSelfRetired() const;
    /// Goes on under a higher incarnation.
    void renew(Incarnation incarnation);

    /// Returns the whole configuration for a VM that is far behind.
    std::string snapshot() const;
    /// Takes a snapshot heard from another VM; an older one is ignored. Fails with InvalidArgument.
    [[nodiscard]] Result<void> takeSnapshot(const std::string &text);

    std::shared_ptr<const Configuration> configuration() const override;
    bool isFresh(TimePoint now) const override;
    bool isWithdrawn(const KeyId &key) const override;
    ForceStatus forceStatus(ConfigurationVersion version, TimePoint now) const override;

    Statement ownStatement(TimePoint now) const override;
    std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const override;
    void takeEntries(const std::vector<LogEntry> &entries) override;
    bool takeWithdrawals(const std::set<KeyId> &keys) override;
    void takeStatement(const Statement &statement, TimePoint now) override;
    std::vector<Statement> newestStatements(TimePoint now) const override;
    void hintVersion(ConfigurationVersion version) override;

private:
    /// A withdrawal that the log lacks, and when this VM may write it.
    struct PendingWithdrawal
    {
        TimePoint since;
        bool wasAcceptedHere { false };
    };

    ConfigurationKeeper(KeeperSettings settings, ConfigurationLog &log, const Clock &clock);

    Result<void> refresh(Deadline deadline);
    Result<void> load(Deadline deadline);
    Result<ConfigurationVersion> record(const Command &command, Deadline deadline);
    Result<Receipt> submitWithdrawal(const Command &command, const KeyId &key, Deadline deadline);
    Result<void> checkWithdrawal(const Command &command, const KeyId &key, Deadline deadline);
    Receipt receiptOf(ConfigurationVersion version) const;
    std::optional<ConfigurationVersion> withdrawnIn(const KeyId &key) const;

    void observeFleet(TimePoint now) const;
    bool isObservationDue(TimePoint now);
    bool isPollDue(TimePoint now);
    bool poll();
    void writePendingWithdrawals(TimePoint now);
    void retireProcesses(TimePoint now);
    void writeSnapshotIfDue();
    Command ownCommand(const std::string &id, CommandBody body) const;

    std::vector<RosterVm> rosterWithSelf(TimePoint now) const;
    std::vector<VmId> unawareOf(const KeyId &key, TimePoint now) const;
    FreshnessView view() const;
    bool isFreshLocked(TimePoint now) const;
    Statement ownStatementLocked(TimePoint now) const;

    ConfigurationLog &m_log;
    const Clock &m_clock;
    const Roster *m_roster { nullptr };
    WithdrawalSpreader *m_spreader { nullptr };

    /// Guards everything below. Never held while the store, the roster or the spreader is called.
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_work;
    KeeperSettings m_settings;
    ConfigurationReplica m_replica;
    mutable Freshness m_freshness;
    mutable ForceTracker m_force;
    mutable RetirementWatch m_retirements;
    mutable std::set<VmId> m_members;
    std::map<KeyId, PendingWithdrawal> m_pendingWithdrawals;
    std::optional<TimePoint> m_lastObservation;
    std::optional<TimePoint> m_lastPoll;
    std::optional<ConfigurationVersion> m_snapshotDue;
    mutable bool m_isPollHinted { false };
    mutable bool m_isWoken { false };
    mutable bool m_wasFresh { false };
    bool m_isStoreReachable { true };
    bool m_isRetirementLogged { false };
};

} // namespace Sapphire
