#pragma once

#include <LibCore/RandomSource.h>
#include <LibSteering/OutlierEjection.h>
#include <LibSteering/TargetState.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sapphire {

enum class SlotPolicy {
    /// Each VM may use all slots of a target, those of its own share first; targets shed what is too much.
    Optimistic,
    Divided, ///< Each VM uses only its share of a target's slots.
};

/// What the configuration says of a target.
struct SelectableTarget
{
    TargetId id;
    int slots { 1 };
    bool isDrained { false };
};

enum class SelectionEnd {
    Selected,
    NoTargets, ///< The region has none, or all are drained or excluded.
    NoneHealthy,
    AllFull,
};

struct Selection
{
    SelectionEnd end { SelectionEnd::NoTargets };
    TargetId target {};
    bool isTrial { false };
    /// When a target may take work again, if none was selected and it is known.
    std::optional<Deadline> retryAt {};
};

/// One attempt at a selected target, from begin() to end().
struct SelectedAttempt
{
    TargetId target;
    TimePoint startedAt {};
    int inFlightAtStart { 0 };
    bool isTrial { false };
};

/// Chooses among the targets of one service in one region. Guarded by its owner.
class TargetSelector
{
public:
    explicit TargetSelector(SlotPolicy policy) : m_policy(policy)
    {
    }

    /// Targets that were not known at the first call are taken for cold.
    void setTargets(const std::vector<SelectableTarget> &targets, TimePoint now);
    /// The VMs among which the slots are divided into shares.
    void setVms(const VmId &own, const std::vector<VmId> &vmsOfRegion);

    /// Picks the less loaded of two random targets among those with room. Targets with room in this VM's share come
    /// first, since the other VMs' requests that are in flight there are known only late. A target that is ejected or
    /// reported down gets single trial requests, but only such that may be trials or find no other target.
    Selection select(TimePoint now, RandomSource &random, const std::set<TargetId> &excluded, bool mayBeTrial);
    /// Counts the request as in flight at the selected target.
    SelectedAttempt begin(const Selection &selection, TimePoint now);
    /// Returns whether the target was ejected by it.
    bool end(const SelectedAttempt &attempt, AttemptOutcome outcome, Microseconds latency, TimePoint now,
             RandomSource &random);
    void takeReport(const TargetReport &report);
    /// Takes a target out at once that resets and refuses connections.
    void noteDied(const TargetId &target, TimePoint now, RandomSource &random);
    /// To be called about once a second. Returns the targets that were ejected as outliers.
    std::vector<TargetId> ejectOutliers(TimePoint now, RandomSource &random);

    /// Slots and busy slots of the targets that take new work; the region and service are left empty.
    RegionRoom regionUsage(TimePoint now) const;
    /// Returns the highest usual latency of the targets that take new work; zero if none is known.
    Microseconds baselineLatency(TimePoint now) const;
    /// Returns nothing for an unknown target.
    const TargetState *state(const TargetId &target) const;
    bool isEjected(const TargetId &target) const
    {
        return m_ejection.isEjected(target);
    }

private:
    struct Entry
    {
        TargetState state;
        bool isDownTrialInProgress { false }; ///< A trial of a target that is only reported down.
        Deadline nextDownTrial {};
        std::size_t rank { 0 }; ///< Of this VM among those of the region, for this target.
    };

    void rankVms();
    /// This VM's share of a target's slots; the remainder goes to the VMs that rank first for the target.
    int share(const Entry &entry, TimePoint now) const;
    bool takesWork(const Entry &entry, TimePoint now) const;
    bool isTrialDue(const Entry &entry, TimePoint now) const;
    bool hasRoom(const Entry &entry, TimePoint now) const;
    /// Whether own successes leave room that the reports deny.
    bool hasProvenRoom(const Entry &entry, TimePoint now) const;
    const Entry *lessLoaded(const std::vector<const Entry *> &candidates, TimePoint now, RandomSource &random) const;
    double loadShare(const Entry &entry, TimePoint now) const;
    Selection notSelected(const std::vector<const Entry *> &working, const std::vector<const Entry *> &down,
                          TimePoint now) const;

    SlotPolicy m_policy;
    VmId m_ownVm;
    std::vector<VmId> m_vms;
    bool m_hasTargets { false };
    std::map<TargetId, Entry> m_entries;
    OutlierEjection m_ejection;
};

} // namespace Sapphire
