#pragma once

#include <LibCore/RandomSource.h>
#include <LibEntry/PlatformSources.h>
#include <LibEntry/SharedSourceDuty.h>
#include <LibSteering/HelpSeeking.h>
#include <LibSteering/TargetList.h>

#include <atomic>

namespace Sapphire {

struct TargetListDutySettings
{
    /// The deployment starts for the first time, so that the list of VMs is not complete yet.
    bool isFirstStart { false };
};

/// Follows the platform's list of targets. Its changes are told one after the other; the first one may be empty. VMs of
/// a large region take the list from each other, and all VMs what they lack of it.
class TargetListDuty final : public SharedSourceDuty
{
public:
    TargetListDuty(const SharedSourceParts &parts, const TargetListDutySettings &settings, TargetListSource &source,
                   std::function<void(const TargetListChange &)> onChange);

    /// Answers a VM that lacks targets.
    void answer(const VmId &asker, const ShortDigests &digests);
    /// Takes another VM's answer.
    void takeStatement(const TargetSyncReply &statement);

private:
    Result<Task> read(bool isReader) override;
    void applyReading(const SourceUpdate &reading) override;
    void readFailed() override;
    bool isReadForAll() const override
    {
        return true;
    }
    void seekHelp(std::size_t rank) override;
    /// Takes the entries of a reading that is of another list than the one before it.
    void mergeReading(const SourceUpdate &reading);
    /// Sets how long a reading may take, and how long this VM waits for others before it reads. A longer list takes
    /// longer to read, and many VMs that read it at once fill the link of their region to the platform.
    void adjustTimes();
    void takeList(const std::vector<KnownTarget> &targets, TimePoint begunAt);
    /// Returns the VM that most likely knows what this one lacks.
    VmId usualHelper(std::size_t rank);
    VmId otherHelper();

    TargetListDutySettings m_settings;
    TargetListSource &m_source;
    std::function<void(const TargetListChange &)> m_onChange;
    std::atomic<Milliseconds> m_readingTime; ///< That a reading may take.
    RandomSource m_random { RandomSource::seededBySystem() };
    HelpSeeking m_help;
    bool m_hasPlannedStart { false };
    VmId m_lastTeller; ///< Of a reading that this VM could not follow.
    TimePoint m_takenReadAt {}; ///< When the newest reading was made of which entries were taken.
    TargetList m_list;
    AbsenceGrace m_grace;
};

} // namespace Sapphire
