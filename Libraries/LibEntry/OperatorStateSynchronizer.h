#pragma once

#include <LibCore/RandomSource.h>
#include <LibEntry/OperatorStateGuard.h>
#include <LibEntry/PlatformSources.h>
#include <LibEntry/SharedSourceSynchronizer.h>
#include <LibSteering/SyncRequestPolicy.h>

#include <mutex>

namespace Sapphire {

/// Keeps a local copy of the operators' rules and evacuated zones in step with the platform. A VM that knows of newer
/// rules than its own asks other VMs for them before it reads the platform, and while the platform refuses it.
class OperatorStateSynchronizer final : public SharedSourceSynchronizer
{
public:
    OperatorStateSynchronizer(const SynchronizerContext &context, OperatorStateSource &source,
                              std::function<void(const OperatorState &)> onState);
    ~OperatorStateSynchronizer() override;

    /// Which rules this VM has, for its heartbeats.
    RulesStatus status() const;
    /// Takes another VM's status.
    void takeStatus(const VmId &vm, const RulesStatus &status);
    /// Answers the rules request of a VM that has rules with the given digest.
    void answerRulesRequest(const VmId &asker, std::uint64_t digest);
    /// The newest epoch of the platform in which the rules are known to have been the platform's.
    SourceEpoch epoch() const
    {
        return schedule().revision().epoch();
    }
    /// Sets what is called when the platform has come back from an older copy. The rules may be the same.
    void onEpochRisen(std::function<void()> handler)
    {
        m_onEpochRisen = std::move(handler);
    }
    /// Whether the platform has lost the newest configuration, and the operators may still write it again.
    bool isAwaitingRewrite() const
    {
        return m_guard.isAwaitingRewrite(context().loop.now());
    }
    /// Applies another VM's reply to a rules request.
    void takeRulesReply(const SourceUpdate &reply);

private:
    /// Other VMs that may have what this one lacks, in the order in which they are asked.
    enum class SyncPeer {
        OfOwnZone, ///< Traffic within a zone is not billed.
        Origin, ///< The VM that told of the newer rules.
        OfOwnRegion,
    };

    Result<Task> read(bool isReader) override;
    /// Returns for how long a reader's call waits for a change.
    Milliseconds readerWaitAt(TimePoint now) const;
    void applyUpdate(const SourceUpdate &update) override;
    std::optional<Task> processPendingUpdate() override;
    void requestSync(std::size_t rank) override;
    /// Notices that the platform has come back from an older copy.
    void noteEpoch();
    VmId nextSyncPeer();
    VmId randomVm(const std::vector<VmId> &vms);
    /// Keeps an update for processPendingUpdate(), unless a newer one waits already.
    void storePending(const SourceUpdate &update);
    /// Passes the state on, unless a newer one was passed on before.
    void applyState(const OperatorState &state);
    /// Passes on the state and the evacuations that the platform has lost in a return from a copy.
    void passOn(const OperatorState &state);

    OperatorStateSource &m_source;
    /// When the last state that was read is known to have been the platform's; empty if nothing had changed. Used by
    /// the synchronizer's thread only.
    std::optional<TimePoint> m_lastChangeAt;
    std::mutex m_pendingMutex;
    std::optional<SourceUpdate> m_pendingUpdate; ///< Of another VM, to be processed on a thread of its own.
    std::function<void(const OperatorState &)> m_onState;
    RulesStatus m_applied; ///< Of the state that was passed on last.
    OperatorState m_state; ///< What the platform or another VM told last.
    OperatorStateGuard m_guard;
    SourceEpoch m_epoch; ///< As noticed last.
    std::function<void()> m_onEpochRisen = [] {};
    RandomSource m_random { RandomSource::seededBySystem() };
    SyncRequestPolicy m_syncRequests;
    SyncPeer m_nextSyncPeer { SyncPeer::OfOwnZone };
    VmId m_origin; ///< The VM that told of rules that this one lacked, most recently.
};

} // namespace Sapphire
