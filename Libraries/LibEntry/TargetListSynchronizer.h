#pragma once

#include <LibCore/RandomSource.h>
#include <LibEntry/PlatformSources.h>
#include <LibEntry/SharedSourceSynchronizer.h>
#include <LibSteering/SyncRequestPolicy.h>
#include <LibSteering/TargetList.h>

#include <atomic>

namespace Sapphire {

struct TargetListSynchronizerSettings
{
    /// The deployment starts for the first time, so that the list of VMs is still incomplete.
    bool isFirstStart { false };
};

/// Keeps a local copy of the platform's target list in step. `onChange` gets its changes in order; the first one may be
/// empty. A starting VM of a large region takes the whole list from another VM, and any VM asks other VMs for the parts
/// that it lacks.
class TargetListSynchronizer final : public SharedSourceSynchronizer
{
public:
    TargetListSynchronizer(const SynchronizerContext &context, const TargetListSynchronizerSettings &settings,
                           TargetListSource &source, std::function<void(const TargetListChange &)> onChange);
    ~TargetListSynchronizer() override;

    /// Answers the sync request of a VM that lacks targets.
    void answerSyncRequest(const VmId &asker, const ShortDigests &digests);
    /// Applies another VM's sync reply.
    void takeSyncReply(const TargetSyncReply &reply);

private:
    Result<Task> read(bool isReader) override;
    void applyUpdate(const SourceUpdate &update) override;
    void readFailed() override;
    bool isReadForAll() const override
    {
        return true;
    }
    void requestSync(std::size_t rank) override;
    /// Applies the entries of an update whose base differs from the local list, unless the update is too old.
    void mergeUpdate(const SourceUpdate &update);
    /// Sets how long a read may take, and how long this VM waits for others before it reads. A longer list takes longer
    /// to read, and many VMs that read it at once saturate the link of their region to the platform.
    void adjustTimeouts();
    void takeList(const TargetListing &listing, TimePoint begunAt);
    /// Returns the VM that most likely has what this one lacks.
    VmId preferredSyncPeer(std::size_t rank);
    VmId randomSyncPeer();

    TargetListSynchronizerSettings m_settings;
    TargetListSource &m_source;
    std::function<void(const TargetListChange &)> m_onChange;
    std::atomic<Milliseconds> m_readTimeout; ///< How long a read may take.
    RandomSource m_random { RandomSource::seededBySystem() };
    SyncRequestPolicy m_syncRequests;
    bool m_hasPlannedStart { false };
    VmId m_lastOrigin; ///< Origin of the last update that could not be applied to the local list.
    TimePoint m_mergedReadAt {}; ///< When the newest update was read whose entries were merged.
    TargetList m_list;
    AbsenceGrace m_grace;
    SourceEpoch m_epoch; ///< The platform's, at the last read.
};

} // namespace Sapphire
