#pragma once

#include <LibSteering/MovingAverage.h>
#include <LibSteering/TargetReport.h>

namespace Sapphire {

/// The busy slots of a region averaged over the last seconds, for statements to other regions. A statement is in use
/// there until the next one, some seconds later: a momentary peak in it would stop the flow to this region, and a
/// momentary low would overfill it.
class RegionUsageAverage
{
public:
    /// Older samples lose their weight with this time constant, which is about the time that a statement is in use.
    static constexpr Milliseconds timeConstant { 2'500 };

    /// Takes the room at a moment. To be called at intervals well below the time constant.
    void note(const RegionRoom &room);
    /// Returns the room at this moment with the averaged busy slots.
    RegionRoom smoothed(RegionRoom room) const;

private:
    MovingAverage m_busy { timeConstant };
};

} // namespace Sapphire
