#pragma once

#include <LibCaller/RegionRouter.h>
#include <LibFleet/CrashSuspectExchange.h>
#include <LibFleet/TargetReportExchange.h>
#include <LibSteering/RoomAverage.h>
#include <LibTarget/ServiceTargets.h>

#include <map>
#include <mutex>

namespace Sapphire {

/// What this VM and others know of targets, rooms of regions and crash suspects, as the exchange carries it.
class RegionKnowledge final : public TargetReportExchange, public CrashSuspectExchange
{
public:
    RegionKnowledge(ServiceTargets &targets, RegionId ownRegion);
    /// Joins it with the router, which needs it first.
    void connect(RegionRouter &router);

    /// Returns the room of the own region at this moment and that of the others as they stated it. To be called about
    /// twice a second, since the average rests on it.
    std::vector<RegionRoom> currentRooms(TimePoint now);

    std::vector<TargetReport> reports(TimePoint now) const override;
    void takeReport(const TargetReport &report, TimePoint now) override;
    /// Returns what other VMs are told. The room of the own region is averaged.
    std::vector<RegionRoom> rooms(TimePoint now) const override;
    void takeRoom(const RegionRoom &room, TimePoint now) override;
    std::vector<CrashSuspect> suspects(TimePoint now) const override;
    void takeSuspect(const CrashSuspect &suspect, TimePoint now) override;

private:
    /// The mutex must be held.
    void addHeardRooms(std::vector<RegionRoom> &rooms, TimePoint now) const;

    ServiceTargets &m_targets;
    RegionId m_ownRegion;
    RegionRouter *m_router { nullptr };
    mutable std::mutex m_mutex;
    std::map<std::pair<RegionId, ServiceId>, RegionRoom> m_rooms;
    std::map<ServiceId, RoomAverage> m_ownRooms;
};

} // namespace Sapphire
