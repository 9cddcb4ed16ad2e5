#include <LibSteering/RegionUsageAverage.h>

#include <algorithm>

namespace Sapphire {

void RegionUsageAverage::note(const RegionRoom &usage)
{
    m_busy.note(usage.busy, usage.statedAt);
}

RegionRoom RegionUsageAverage::smoothed(RegionRoom usage) const
{
    if (m_busy.hasSample()) {
        // The average may count busy slots that are gone.
        usage.busy = std::min(usage.slots, static_cast<int>(std::lround(m_busy.value())));
    }
    return usage;
}

} // namespace Sapphire
