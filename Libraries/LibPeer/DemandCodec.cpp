#include <LibPeer/DemandCodec.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

constexpr double centislotsPerSlot = 100;

std::uint32_t toCentislots(double slots)
{
    return static_cast<std::uint32_t>(std::lround(slots * centislotsPerSlot));
}

} // namespace

void writeDemands(const ServiceDemands &demands, WireDemands &wire)
{
    for (const auto &[service, demand] : demands) {
        peer::ServiceDemand &entry = *wire.Add();
        entry.set_service(service.text());
        double total = demand.free;
        for (const auto &[region, slots] : demand.bound) {
            peer::BoundDemand &bound = *entry.add_bound();
            bound.set_region(region.text());
            bound.set_centislots(toCentislots(slots));
            total += slots;
        }
        entry.set_offered_centislots(toCentislots(total));
    }
}

ServiceDemands readDemands(const WireDemands &wire)
{
    ServiceDemands demands;
    for (const peer::ServiceDemand &entry : wire) {
        Demand &demand = demands[ServiceId(entry.service())];
        demand.free = entry.offered_centislots() / centislotsPerSlot;
        for (const peer::BoundDemand &bound : entry.bound()) {
            const double slots = bound.centislots() / centislotsPerSlot;
            demand.bound[RegionId(bound.region())] += slots;
            demand.free = std::max(0.0, demand.free - slots);
        }
    }
    return demands;
}

} // namespace Sapphire
