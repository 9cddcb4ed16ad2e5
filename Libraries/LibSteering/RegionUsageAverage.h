#pragma once

#include <LibSteering/MovingAverage.h>
#include <LibSteering/TargetReport.h>

namespace Sapphire {

/// The busy slots of a region averaged over the last seconds, for usage reports to other regions. A report is in use
/// there until the next one, some seconds later: a momentary peak in it would stop the requests to this region, and a
/// momentary low would overload it.
class RegionUsageAverage
{
public:
    /// Older samples lose their weight with this time constant, which is about the time for which a report is in use.
    static constexpr Milliseconds timeConstant { 2'500 };

    /// Adds a sample. To be called at intervals well below the time constant.
    void note(const RegionUsage &usage);
    /// Returns the given usage with the averaged busy slots.
    RegionUsage smoothed(RegionUsage usage) const;

private:
    MovingAverage m_busy { timeConstant };
};

} // namespace Sapphire
