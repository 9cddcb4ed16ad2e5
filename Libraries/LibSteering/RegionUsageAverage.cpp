#include <LibSteering/RegionUsageAverage.h>

#include <algorithm>

namespace Sapphire {

void RegionUsageAverage::note(const RegionUsage &usage)
{
    m_busy.note(usage.busy, usage.statedAt);
}

RegionUsage RegionUsageAverage::smoothed(RegionUsage usage) const
{
    if (m_busy.hasSample()) {
        // The average may count busy slots that are gone.
        usage.busy = std::min(usage.slots, static_cast<int>(std::lround(m_busy.value())));
    }
    return usage;
}

} // namespace Sapphire
