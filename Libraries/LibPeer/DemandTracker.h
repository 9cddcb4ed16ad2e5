#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <map>

namespace Sapphire {

/// The requests of callers for each service, in busy slots.
using ServiceDemands = std::map<ServiceId, double>;

/// What the callers of each region ask for: this VM's own, what the VMs of its region say of theirs, and what other
/// regions say of themselves.
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
    /// Takes what a VM of the own region says, which counts until the given time.
    void takeVm(const VmId &vm, ServiceDemands demands, Deadline validUntil);
    void takeRegion(const RegionId &region, ServiceDemands demands, TimePoint now);

    /// Returns the sum over the VMs of the own region.
    ServiceDemands ownRegion(TimePoint now) const;
    /// Returns the demand of each region that is known.
    std::map<RegionId, double> demandFor(const ServiceId &service, TimePoint now) const;

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
