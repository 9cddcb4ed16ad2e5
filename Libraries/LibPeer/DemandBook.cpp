#include <LibPeer/DemandBook.h>

namespace Sapphire {

namespace {

// Demand of a whole region changes slowly, and its statements cross long ways.
constexpr Milliseconds regionStatementTime { 15'000 };

double demandOf(const ServiceDemands &demands, const ServiceId &service)
{
    const auto found = demands.find(service);
    return found == demands.end() ? 0 : found->second;
}

} // namespace

void DemandBook::takeVm(const VmId &vm, ServiceDemands demands, Deadline validUntil)
{
    m_vms[vm] = { std::move(demands), validUntil };
}

void DemandBook::takeRegion(const RegionId &region, ServiceDemands demands, TimePoint now)
{
    m_regions[region] = { std::move(demands), Deadline::after(now, regionStatementTime) };
}

ServiceDemands DemandBook::ownRegion(TimePoint now) const
{
    ServiceDemands sum = m_own;
    for (const auto &[vm, statement] : m_vms) {
        if (statement.validUntil.hasPassed(now)) {
            continue;
        }
        for (const auto &[service, demand] : statement.demands) {
            sum[service] += demand;
        }
    }
    return sum;
}

std::map<RegionId, double> DemandBook::demandFor(const ServiceId &service, TimePoint now) const
{
    std::map<RegionId, double> demand;
    demand[m_ownRegion] = demandOf(m_own, service);
    for (const auto &[vm, statement] : m_vms) {
        if (!statement.validUntil.hasPassed(now)) {
            demand[m_ownRegion] += demandOf(statement.demands, service);
        }
    }
    for (const auto &[region, statement] : m_regions) {
        const auto found = statement.demands.find(service);
        if (!statement.validUntil.hasPassed(now) && found != statement.demands.end()) {
            demand[region] = found->second;
        }
    }
    return demand;
}

} // namespace Sapphire
