#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Statement.h>

#include <optional>

namespace Sapphire {

/// A VM serves keyed routes only for this long after the last evidence that it has missed no change in force.
inline constexpr Microseconds freshnessLimit { 4'000'000 };
/// A gap between ticks that is longer than this is a pause of the process.
inline constexpr Microseconds longestTickGap { 1'000'000 };

/// Returns how many of the regions are a majority.
std::size_t majorityOf(std::size_t regionCount);

/// What a VM knows; statements of others are judged against it.
struct FreshnessView
{
    VmIncarnation self;
    RegionId region;
    const Configuration &configuration;
    /// Withdrawn keys that are not in the configuration yet.
    const std::set<KeyId> &pendingWithdrawals;
    /// VMs that are listed by the platform or registered; statements of others don't count.
    const std::set<VmId> &members;
};

/// The evidence that this VM has missed no change that is in force: its contacts with the store, and statements of VMs
/// in a majority of the regions that had no newer change. Not safe to share between threads.
class Freshness
{
public:
    /// Takes note that the process runs. After a pause, the evidence from before is discarded.
    void noteTick(TimePoint now);
    /// Takes note that the store was read completely by a call sent at that time.
    void noteStoreContact(TimePoint sentAt);
    void takeStatement(const Statement &statement, TimePoint now);

    /// Returns whether the VM may serve keyed routes. If the last tick is too old, the evidence is discarded.
    bool isFresh(const FreshnessView &view, TimePoint now);
    /// Returns whether the VM has once had full evidence without counting itself. Before, the state that it had in an
    /// earlier process may have been newer than the one that it has now, so its own word counts for nothing.
    bool isStarted() const
    {
        return m_isStarted;
    }
    /// Returns the newest statement of each region that is within the freshness limit.
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
