#pragma once

#include <LibCore/Deadline.h>
#include <LibSteering/Demand.h>

namespace Sapphire {

/// Tracks the demand of the callers of each region: this VM's own, the reports of the VMs of its region, and the
/// reports that other regions send about themselves.
class DemandTracker
{
public:
    explicit DemandTracker(RegionId ownRegion) : m_ownRegion(std::move(ownRegion))
    {
    }

    void setOwn(ServiceDemands demands)
    {
        m_own = std::move(demands);
    }
    /// Stores the report of a VM of the own region, which counts until the given time.
    void takeVm(const VmId &vm, ServiceDemands demands, Deadline validUntil);
    void takeRegion(const RegionId &region, ServiceDemands demands, TimePoint now);

    /// Returns the sum over the VMs of the own region.
    ServiceDemands ownRegion(TimePoint now) const;
    /// Returns the demand for the service in the own region and in each region whose report is valid and names it.
    std::map<RegionId, Demand> demandFor(const ServiceId &service, TimePoint now) const;

private:
    struct DemandReport
    {
        ServiceDemands demands;
        Deadline validUntil;
    };

    RegionId m_ownRegion;
    ServiceDemands m_own;
    std::map<VmId, DemandReport> m_vms;
    std::map<RegionId, DemandReport> m_regions;
};

} // namespace Sapphire
