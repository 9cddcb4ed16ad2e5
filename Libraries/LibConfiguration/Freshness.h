#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Statement.h>

#include <optional>

namespace Sapphire {

/// How long a VM may serve keyed routes after the last evidence that it has missed no change in force.
inline constexpr Microseconds freshnessLimit { 4'000'000 };
/// A longer gap between two ticks means that the process was paused.
inline constexpr Microseconds longestTickGap { 1'000'000 };

/// Returns the number of regions that form a majority.
std::size_t majorityOf(std::size_t regionCount);

/// What this VM knows; statements of other VMs are compared with it.
struct FreshnessView
{
    VmIncarnation self;
    RegionId region;
    const Configuration &configuration;
    /// Withdrawn keys that are not in the configuration yet.
    const std::set<KeyId> &pendingWithdrawals;
    /// VMs that are in the platform's list or, if that was not read, known from other VMs. Statements of all others are
    /// ignored.
    const std::set<VmId> &members;
};

/// Decides whether this VM can have missed a change that is in force. Evidence that it has missed none is a recent read
/// of the store, or recent statements from VMs in a majority of the regions that knew of no newer change. Not safe to
/// share between threads.
class Freshness
{
public:
    /// Records that the process is running. After a pause, evidence from before the pause is discarded.
    void noteTick(TimePoint now);
    /// Records that a call sent at that time read the log in the store up to its end.
    void noteStoreContact(TimePoint sentAt);
    void takeStatement(const Statement &statement, TimePoint now);

    /// Returns whether the VM may serve keyed routes. If the last tick is too long ago, discards the evidence.
    bool isFresh(const FreshnessView &view, TimePoint now);
    /// Returns whether the VM has had sufficient evidence without counting itself at least once. Until then, an earlier
    /// process of the VM may have had a newer version, so the VM must not count towards a majority.
    bool isStarted() const
    {
        return m_isStarted;
    }
    /// Returns the newest statement of each region, leaving out those older than the freshness limit.
    std::vector<Statement> newestPerRegion(TimePoint now) const;

private:
    void discardBefore(TimePoint now);
    bool isRecent(TimePoint evidence, TimePoint now) const;
    bool hasMajority(const FreshnessView &view, bool countsSelf, TimePoint now) const;

    std::optional<TimePoint> m_lastTick;
    std::optional<TimePoint> m_lastStoreContact;
    std::map<VmIncarnation, Statement> m_statements;
    TimePoint m_discardedBefore {};
    bool m_isStarted { false };
};

} // namespace Sapphire
