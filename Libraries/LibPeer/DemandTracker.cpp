#include <LibPeer/DemandTracker.h>

namespace Sapphire {

namespace {

// The demand of a whole region changes slowly, and its reports travel far, so they count for longer than those of VMs.
constexpr Milliseconds regionReportLifetime { 15'000 };

Demand demandOf(const ServiceDemands &demands, const ServiceId &service)
{
    const auto found = demands.find(service);
    return found == demands.end() ? Demand() : found->second;
}

} // namespace

void DemandTracker::takeVm(const VmId &vm, ServiceDemands demands, Deadline validUntil)
{
    m_vms[vm] = { std::move(demands), validUntil };
}

void DemandTracker::takeRegion(const RegionId &region, ServiceDemands demands, TimePoint now)
{
    m_regions[region] = { std::move(demands), Deadline::after(now, regionReportLifetime) };
}

ServiceDemands DemandTracker::ownRegion(TimePoint now) const
{
    ServiceDemands sum = m_own;
    for (const auto &[vm, report] : m_vms) {
        if (report.validUntil.hasPassed(now)) {
            continue;
        }
        for (const auto &[service, demand] : report.demands) {
            sum[service] += demand;
        }
    }
    return sum;
}

std::map<RegionId, Demand> DemandTracker::demandFor(const ServiceId &service, TimePoint now) const
{
    std::map<RegionId, Demand> demand;
    demand[m_ownRegion] = demandOf(m_own, service);
    for (const auto &[vm, report] : m_vms) {
        if (!report.validUntil.hasPassed(now)) {
            demand[m_ownRegion] += demandOf(report.demands, service);
        }
    }
    for (const auto &[region, report] : m_regions) {
        const auto found = report.demands.find(service);
        if (!report.validUntil.hasPassed(now) && found != report.demands.end()) {
            demand[region] = found->second;
        }
    }
    return demand;
}

} // namespace Sapphire
