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
    /// Each VM may use all slots of a target, those of its own share first; targets shed excess requests.
    Optimistic,
    Divided, ///< Each VM uses only its share of a target's slots.
};

/// The configuration of a target.
struct SelectableTarget
{
    TargetId id;
    int slots { 1 };
    bool isDrained { false };
};

enum class SelectionEnd {
    Selected,
    NoTargets, ///< The region has none, or all are drained or excluded.
    NoneHealthy, ///< All are ejected or reported down.
    AllFull, ///< Healthy targets exist, but none has capacity.
    AllPaused, ///< All that take requests have asked for a pause.
};

struct Selection
{
    SelectionEnd end { SelectionEnd::NoTargets };
    TargetId target {};
    bool isTrial { false };
    /// If no target was selected: when one may take requests again, if that is known.
    std::optional<Deadline> retryAt {};
};

/// One request sent to a selected target, from begin() to end().
struct SelectedAttempt
{
    TargetId target;
    TimePoint startedAt {};
    int inFlightAtStart { 0 };
    bool isTrial { false };
};

/// Chooses among the targets of one service in one region. Not thread-safe: the owner holds a lock.
class TargetSelector
{
public:
    explicit TargetSelector(SlotPolicy policy) : m_policy(policy)
    {
    }

    /// Sets the targets. Those that are added after the first call count as cold.
    void setTargets(const std::vector<SelectableTarget> &targets, TimePoint now);
    /// Sets the VMs among which each target's slots are divided into shares.
    void setVms(const VmId &own, const std::vector<VmId> &vmsOfRegion);

    /// Picks the less loaded of two random targets among those with capacity. Targets with free slots in this VM's
    /// share are preferred, since other VMs' requests in flight are known only with a delay. A target that is ejected
    /// or reported down gets single trial requests, but only if `mayBeTrial` is set or no other target has capacity.
    Selection select(TimePoint now, RandomSource &random, const std::set<TargetId> &excluded, bool mayBeTrial);
    /// Counts the request as in flight at the selected target.
    SelectedAttempt begin(const Selection &selection, TimePoint now);
    /// Records the outcome of an attempt. Returns whether the target was ejected because of it.
    bool end(const SelectedAttempt &attempt, AttemptOutcome outcome, Microseconds latency, TimePoint now,
             RandomSource &random);
    /// Takes an observer's report.
    void takeReport(const TargetReport &report);
    /// The target wants no requests until the deadline. An earlier one than that of its last pause changes nothing.
    void notePause(const TargetId &target, Deadline until);
    /// Ejects a target at once, since it resets and refuses connections.
    void noteDied(const TargetId &target, TimePoint now, RandomSource &random);
    /// To be called about once a second. Returns the targets that were ejected as outliers.
    std::vector<TargetId> ejectOutliers(TimePoint now, RandomSource &random);

    /// Returns slots and busy slots of the targets that accept new requests; region and service are left empty.
    RegionUsage regionUsage(TimePoint now) const;
    /// Returns the highest baseline latency of the targets that accept new requests; zero if none is known.
    Microseconds baselineLatency(TimePoint now) const;
    /// Returns null for an unknown target.
    const TargetState *state(const TargetId &target) const;
    bool isEjected(const TargetId &target) const
    {
        return m_ejection.isEjected(target);
    }

private:
    struct Entry
    {
        TargetState state;
        bool isDownTrialInProgress { false }; ///< Whether a trial at a target that is reported down is in flight.
        Deadline nextDownTrial {};
        Deadline pausedUntil {};
        std::size_t rank { 0 }; ///< Of this VM among the region's VMs, by rendezvous hashing with the target's id.
    };

    void rankVms();
    /// Returns this VM's share of a target's slots; the remainder goes to the VMs that rank first for the target.
    int share(const Entry &entry, TimePoint now) const;
    bool takesWork(const Entry &entry, TimePoint now) const;
    bool isTrialDue(const Entry &entry, TimePoint now) const;
    bool hasCapacity(const Entry &entry, TimePoint now) const;
    /// Returns whether recent successes of this VM show that the target has capacity, although the reports deny it.
    bool hasProvenCapacity(const Entry &entry, TimePoint now) const;
    const Entry *lessLoaded(const std::vector<const Entry *> &candidates, TimePoint now, RandomSource &random) const;
    double utilization(const Entry &entry, TimePoint now) const;
    Selection notSelected(const std::vector<const Entry *> &working, const std::vector<const Entry *> &down,
                          TimePoint now) const;
    /// Returns when callers may come back after the first of the pauses, spread over its length.
    static Selection allPaused(const std::vector<const Entry *> &paused, TimePoint now, RandomSource &random);

    SlotPolicy m_policy;
    VmId m_ownVm;
    std::vector<VmId> m_vms;
    bool m_hasTargets { false };
    std::map<TargetId, Entry> m_entries;
    OutlierEjection m_ejection;
};

} // namespace Sapphire
