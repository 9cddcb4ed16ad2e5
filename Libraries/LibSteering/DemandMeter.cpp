#include <LibSteering/DemandMeter.h>

#include <chrono>

namespace Sapphire {

DemandMeter::DemandMeter(Microseconds timeConstant) : m_timeConstant(timeConstant), m_free(timeConstant)
{
}

void DemandMeter::add(Microseconds work, const std::optional<RegionId> &onlyRegion, TimePoint now)
{
    RateMeter &meter = onlyRegion ? m_bound.try_emplace(*onlyRegion, m_timeConstant).first->second : m_free;
    meter.add(std::chrono::duration<double>(work).count(), now);
}

Demand DemandMeter::demand(TimePoint now)
{
    Demand demand { m_free.perSecond(now), {} };
    for (auto &[region, meter] : m_bound) {
        demand.bound[region] = meter.perSecond(now);
    }
    return demand;
}

} // namespace Sapphire
