#include <LibSteering/RoomAverage.h>

#include <algorithm>

namespace Sapphire {

void RoomAverage::note(const RegionRoom &room)
{
    m_busy.note(room.busy, room.statedAt);
}

RegionRoom RoomAverage::stated(RegionRoom room) const
{
    if (m_busy.hasSample()) {
        // Slots that are gone aren't busy either.
        room.busy = std::min(room.slots, static_cast<int>(std::lround(m_busy.value())));
    }
    return room;
}

} // namespace Sapphire
