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
    Share shiftCap { 200'000 }; ///< The part of the flow that may move in one interval.
    Milliseconds shiftInterval { 5'000 };
    Share regionLimit { 850'000 }; ///< The part of another region's slots that forwarded work may fill.
};

/// Decides which region runs a request of one service that arrived at this VM.
/// The weights of the regions move by at most the cap in each interval, so the flow of all VMs together does too.
class RegionSteering
{
public:
    explicit RegionSteering(RegionSteeringSettings settings);

    /// Takes changed settings; the weights stay as they are.
    void configure(RegionSteeringSettings settings);

    /// What the last interval showed, and the newest statements of the regions.
    struct Observation
    {
        std::vector<RegionRoom> reportedUsages; ///< At most one for each region; a missing one counts as no room.
        std::size_t sendingVms { 1 }; ///< VMs that may send work to a given other region.
        bool isOwnRegionSlow { false }; ///< Latencies in the own region are far above their usual value.
    };

    /// Moves the weights once an interval; other calls do nothing.
    void adjust(const Observation &observation, TimePoint now, RandomSource &random);

    struct Choice
    {
        RegionId region;
        /// Whether the weights asked for another region that has no room left for this VM.
        bool wasLimited { false };
    };
    /// Chooses a region for one request. The caller reports its end with finished().
    Choice choose(RandomSource &random);
    /// Accounts for the end of a request in the given region.
    void finished(const RegionId &region, bool wasRefusedForLackOfRoom);

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
    static const RegionRoom *roomOf(const Observation &observation, const RegionId &region);

    RegionSteeringSettings m_settings;
    Deadline m_nextAdjustment;
    bool m_hasStarted { false };
    /// Parts per million of the flow; they add up to wholeShare.
    std::map<RegionId, std::int64_t> m_weights;
    /// Requests that this VM may have running in another region at once.
    std::map<RegionId, int> m_allowances;
    std::map<RegionId, int> m_running;
    /// The running requests averaged as the regions average theirs, of which these are a part.
    std::map<RegionId, MovingAverage> m_usualRunning;
    int m_triedInOwnRegion { 0 };
    int m_refusedInOwnRegion { 0 };
};

} // namespace Sapphire
