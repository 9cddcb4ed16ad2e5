#pragma once

#include <LibSteering/Demand.h>
#include <LibSteering/VmsByRegion.h>

namespace Sapphire {

/// The demand of one VM's callers for a service.
struct VmDemand
{
    RegionId region;
    Demand demand;
};

/// Divides the rate that a target takes from all VMs together among them, by what their callers need of it. Each VM
/// computes its own part from what the VMs tell each other; the parts add up to about 1.
class RateShare
{
public:
    /// Returns the part of a VM, between 0 and 1, for a target in the region. `demands` holds the demand of the callers
    /// of each region, that of the VM included. The part is 0 while the VMs are unknown.
    static double ofTarget(const RegionId &targetRegion, const VmDemand &own, const std::map<RegionId, Demand> &demands,
                           const VmsByRegion &vms);
};

} // namespace Sapphire
