#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>
#include <LibSteering/RegionUsageAverage.h>

#include <map>
#include <optional>
#include <vector>

namespace Sapphire {

struct RegionSteeringSettings
{
    RegionId ownRegion;
    std::vector<RegionId> fallbacks; ///< Nearest first.
    Share shiftCap { 200'000 }; ///< Fraction of the requests that may shift in one interval.
    Milliseconds shiftInterval { 5'000 };
    Share regionLimit { 850'000 }; ///< Fraction of another region's slots that forwarded requests may fill.
};

/// Decides which region runs a request of one service that arrived at this VM. The weights of the regions move by at
/// most the cap in each interval, so the requests of all VMs together do too.
class RegionSteering
{
public:
    explicit RegionSteering(RegionSteeringSettings settings);

    /// Takes changed settings; the weights stay as they are.
    void configure(RegionSteeringSettings settings);

    /// Observations of the last interval, and the newest usage reports of the regions.
    struct Observation
    {
        std::vector<RegionUsage> reportedUsages; ///< At most one for each region; none counts as no capacity.
        std::size_t sendingVms { 1 }; ///< VMs that may send requests to a given other region.
        bool isOwnRegionSlow { false }; ///< Latencies in the own region are far above their baseline.
    };

    /// Updates what this VM may have running in other regions, and moves the weights once an interval.
    void adjust(const Observation &observation, TimePoint now, RandomSource &random);

    struct Choice
    {
        RegionId region;
        /// Whether the weights asked for another region where this VM may run nothing more.
        bool wasLimited { false };
    };
    /// Chooses a region for one request. The caller reports its end with finished().
    Choice choose(RandomSource &random);
    /// Counts the end of a request in the given region.
    void finished(const RegionId &region, bool wasRefusedForLackOfCapacity);

    Share weight(const RegionId &region) const;
    /// Returns when the weights may move next.
    Deadline nextAdjustment() const
    {
        return m_nextAdjustment;
    }

private:
    std::map<RegionId, std::int64_t> wantedWeights(const Observation &observation) const;
    void moveTowards(const std::map<RegionId, std::int64_t> &wanted);
    void updateAllowances(const Observation &observation, TimePoint now, RandomSource &random);
    static const RegionUsage *usageOf(const Observation &observation, const RegionId &region);

    RegionSteeringSettings m_settings;
    Deadline m_nextAdjustment;
    bool m_hasStarted { false };
    /// Parts per million of the requests; they add up to wholeShare.
    std::map<RegionId, std::int64_t> m_weights;
    /// Requests that this VM may have running in another region at once.
    std::map<RegionId, int> m_allowances;
    std::map<RegionId, int> m_running;
    /// The average of the running requests, over the same time as the busy slots in usage reports, of which they are a
    /// part.
    std::map<RegionId, MovingAverage> m_averageRunning;
    int m_triedInOwnRegion { 0 };
    int m_refusedInOwnRegion { 0 };
};

} // namespace Sapphire
