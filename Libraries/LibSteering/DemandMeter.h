#pragma once

#include <LibSteering/Demand.h>
#include <LibSteering/RateMeter.h>

#include <optional>

namespace Sapphire {

/// Measures the demand of a VM's callers for one service.
class DemandMeter
{
public:
    /// The demand is an average over about the given time.
    explicit DemandMeter(Microseconds timeConstant);

    /// A request came that keeps a slot busy for the given time, and that may run in one region only if that is given.
    void add(Microseconds work, const std::optional<RegionId> &onlyRegion, TimePoint now);
    Demand demand(TimePoint now);

private:
    Microseconds m_timeConstant;
    RateMeter m_free;
    std::map<RegionId, RateMeter> m_bound;
};

} // namespace Sapphire
