#include <LibSteering/RegionUsageAverage.h>

#include <algorithm>

namespace Sapphire {

void RegionUsageAverage::note(const RegionRoom &room)
{
    m_busy.note(room.busy, room.statedAt);
}

RegionRoom RegionUsageAverage::smoothed(RegionRoom room) const
{
    if (m_busy.hasSample()) {
        // Slots that are gone aren't busy either.
        room.busy = std::min(room.slots, static_cast<int>(std::lround(m_busy.value())));
    }
    return room;
}

} // namespace Sapphire
