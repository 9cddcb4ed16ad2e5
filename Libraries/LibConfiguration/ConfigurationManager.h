#pragma once

#include <LibConfiguration/ConfigurationExchange.h>
#include <LibConfiguration/ConfigurationLog.h>
#include <LibConfiguration/ConfigurationReplica.h>
#include <LibConfiguration/ConfigurationSource.h>
#include <LibConfiguration/Freshness.h>
#include <LibConfiguration/InForceTracker.h>
#include <LibConfiguration/RetirementMonitor.h>
#include <LibConfiguration/Roster.h>
#include <LibConfiguration/WithdrawalSpreader.h>
#include <LibCore/Clock.h>

#include <condition_variable>
#include <mutex>

namespace Sapphire {

struct ConfigurationManagerSettings
{
    VmIncarnation self;
    Locality locality;
    Microseconds pollInterval { 2'000'000 };
    /// The longest time that one step of tick() waits for the store.
    Microseconds storeTimeout { 2'000'000 };
};

enum class ReceiptState {
    InForce, ///< No VM can serve keyed routes by an older version any more.
    Recorded, ///< In the log, but some VMs may not have applied it yet.
    AcceptedNotDurable, ///< A withdrawal that several VMs know, but that is not in the log yet.
};

/// Returns the name of the state in answers to operators.
std::string_view nameOf(ReceiptState state);

/// The result of a command.
struct Receipt
{
    ConfigurationVersion version; ///< The change's version, or this VM's version if the change is not durable.
    ReceiptState state { ReceiptState::Recorded };
    std::vector<VmId> unconfirmed; ///< VMs that have not confirmed the change.
};

/// Keeps this VM's configuration up to date, records operators' commands in the log, and decides whether the VM is
/// fresh. Safe to call from any thread; only submit(), start() and tick() wait for the store or other VMs.
class ConfigurationManager final : public ConfigurationSource, public ConfigurationExchange
{
public:
    /// The log and clock must outlive the manager. Fails with InvalidArgument if the settings lack the VM, incarnation
    /// or region.
    [[nodiscard]] static Result<std::unique_ptr<ConfigurationManager>>
    create(ConfigurationManagerSettings settings, ConfigurationLog &log, const Clock &clock);

    /// Connects the manager to the fleet, whose objects are created after the manager because they need it. To be
    /// called before start().
    void connect(const Roster &roster, WithdrawalSpreader &spreader);

    /// Loads the configuration from the store. In an outage of the store it succeeds once VMs in a majority of the
    /// regions have sent their configuration, and fails with Unavailable until then; tick() keeps trying.
    [[nodiscard]] Result<void> start(Deadline deadline);
    /// Returns whether the VM has had a configuration at least as new as the one that its former process had.
    bool isStarted(TimePoint now) const;

    /// One round of the periodic work: polls the store if due, writes pending withdrawals, retires processes and writes
    /// the snapshot if due.
    void tick(TimePoint now);
    /// Waits until tick() has urgent work, wake() is called or the time has passed.
    void waitForWork(Microseconds longest);
    void wake();
    /// Records that the process is running; to be called by the tick thread every 50 ms.
    void noteTick(TimePoint now);

    /// Records a command in the log. Fails with InvalidArgument, NotFound or Conflict if the command can't be applied,
    /// and with Unavailable if the store doesn't answer; with verdict MayHaveRun, the command may still take effect. A
    /// command that is sent again with the same id takes effect once and gets the receipt of that change.
    [[nodiscard]] Result<Receipt> submit(const Command &command, Deadline deadline);
    /// Waits until the change is in force or the deadline has passed, and returns the receipt as of then.
    Receipt awaitInForce(ConfigurationVersion version, Deadline deadline);

    /// Adds a process that may not be in any VM's roster, such as the holder of an allotment, so that it is retired if
    /// its VM is missing from the platform's list.
    void noteProcess(const VmIncarnation &process);
    /// Returns whether this process is retired and has to continue under a new incarnation.
    bool isSelfRetired() const;
    /// Continues under a higher incarnation.
    void renew(Incarnation incarnation);

    /// Returns the encoded configuration, for a VM that is far behind.
    std::string snapshot() const;
    /// Takes a snapshot from another VM, and ignores it if it is not newer. Fails with InvalidArgument if it can't be
    /// decoded.
    [[nodiscard]] Result<void> takeSnapshot(const std::string &text);

    std::shared_ptr<const Configuration> configuration() const override;
    bool isFresh(TimePoint now) const override;
    bool isWithdrawn(const KeyId &key) const override;
    InForceStatus inForceStatus(ConfigurationVersion version, TimePoint now) const override;

    Statement ownStatement(TimePoint now) const override;
    std::vector<LogEntry> entriesAfter(ConfigurationVersion version, std::size_t limit) const override;
    void takeEntries(const std::vector<LogEntry> &entries) override;
    bool takeWithdrawals(const std::set<KeyId> &keys) override;
    void takeStatement(const Statement &statement, TimePoint now) override;
    std::vector<Statement> newestStatements(TimePoint now) const override;
    void hintVersion(ConfigurationVersion version) override;

private:
    /// A withdrawal that is not in the log yet, with what decides when this VM may write it.
    struct PendingWithdrawal
    {
        TimePoint since;
        bool wasAcceptedHere { false };
    };

    ConfigurationManager(ConfigurationManagerSettings settings, ConfigurationLog &log, const Clock &clock);

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
    std::vector<VmId> vmsUnawareOf(const KeyId &key, TimePoint now) const;
    FreshnessView view() const;
    bool isFreshLocked(TimePoint now) const;
    Statement ownStatementLocked(TimePoint now) const;

    ConfigurationLog &m_log;
    const Clock &m_clock;
    const Roster *m_roster { nullptr };
    WithdrawalSpreader *m_spreader { nullptr };

    /// Protects all members below. Never held during calls to the store, the roster or the spreader.
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_work;
    ConfigurationManagerSettings m_settings;
    ConfigurationReplica m_replica;
    mutable Freshness m_freshness;
    mutable InForceTracker m_inForceTracker;
    mutable RetirementMonitor m_retirementMonitor;
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
