#include <LibDaemon/RegionKnowledge.h>

namespace Sapphire {

namespace {

// A region whose room was not heard of for this long counts as having none.
constexpr Milliseconds roomLifetime { 10'000 };

} // namespace

RegionKnowledge::RegionKnowledge(ServiceTargets &targets, RegionId ownRegion)
    : m_targets(targets), m_ownRegion(std::move(ownRegion))
{
}

void RegionKnowledge::connect(RegionRouter &router)
{
    m_router = &router;
}

std::vector<TargetReport> RegionKnowledge::reports(TimePoint) const
{
    return m_targets.reports();
}

void RegionKnowledge::takeReport(const TargetReport &report, TimePoint)
{
    m_targets.takeReport(report);
}

std::vector<RegionRoom> RegionKnowledge::rooms(TimePoint now) const
{
    std::vector<RegionRoom> result = m_targets.rooms();
    const std::lock_guard guard(m_mutex);
    for (RegionRoom &room : result) {
        const auto average = m_ownRooms.find(room.service);
        if (average != m_ownRooms.end()) {
            room = average->second.stated(room);
        }
    }
    addHeardRooms(result, now);
    return result;
}

std::vector<RegionRoom> RegionKnowledge::currentRooms(TimePoint now)
{
    std::vector<RegionRoom> result = m_targets.rooms();
    const std::lock_guard guard(m_mutex);
    for (const RegionRoom &room : result) {
        m_ownRooms[room.service].note(room);
    }
    addHeardRooms(result, now);
    return result;
}

void RegionKnowledge::addHeardRooms(std::vector<RegionRoom> &rooms, TimePoint now) const
{
    for (const auto &[key, room] : m_rooms) {
        if (now - room.statedAt <= roomLifetime) {
            rooms.push_back(room);
        }
    }
}

void RegionKnowledge::takeRoom(const RegionRoom &room, TimePoint)
{
    if (room.region == m_ownRegion) {
        return;
    }
    const std::lock_guard guard(m_mutex);
    RegionRoom &held = m_rooms[{ room.region, room.service }];
    if (room.statedAt > held.statedAt) {
        held = room;
    }
}

std::vector<CrashSuspect> RegionKnowledge::suspects(TimePoint) const
{
    return m_router->suspectsSeenAfter(TimePoint());
}

void RegionKnowledge::takeSuspect(const CrashSuspect &suspect, TimePoint)
{
    m_router->mergeSuspect(suspect);
}

} // namespace Sapphire
