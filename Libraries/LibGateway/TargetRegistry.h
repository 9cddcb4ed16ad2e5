#pragma once

#include <LibGateway/GatewayTarget.h>
#include <LibSteering/ServingRules.h>
#include <LibSteering/TargetList.h>
#include <LibSteering/VmsByRegion.h>

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Sapphire {

using TargetGroup = std::vector<RefPointer<GatewayTarget>>;

/// The targets of a service in one region, including those that take no requests.
struct RegionTargets
{
    RegionId region;
    TargetGroup targets;
};

/// All targets of the target list, by service and region.
class TargetRegistry
{
public:
    /// `regionsByZone` holds the region of each availability zone.
    TargetRegistry(EventLoop &loop, const WireNames &names, std::map<AvailabilityZoneId, RegionId> regionsByZone);

    /// Applies a change of the target list.
    void applyChange(const TargetListChange &change);
    /// Sets the zones to which nothing may be sent.
    void applyEvacuations(const std::set<AvailabilityZoneId> &zones);

    /// Returns the targets of a service, for each region that has some.
    const std::vector<RegionTargets> &regionsOf(const ServiceId &service) const;
    /// Returns all targets, including those that take no requests.
    const std::unordered_map<TargetId, RefPointer<GatewayTarget>> &all() const
    {
        return m_targets;
    }
    /// Returns the targets whose health has to be checked now or later.
    TargetsToCheck &toCheck()
    {
        return m_toCheck;
    }
    /// Whether new requests may be sent to the target, as far as the list and the evacuated zones say.
    bool takesWork(const GatewayTarget &target) const;
    /// Closes idle connections that the targets may close soon.
    void closeIdle();
    /// Sets the VMs among which the limits of targets are divided.
    void applyVms(const VmsByRegion &vms, const VmId &own);
    /// Returns the VMs among which the limits of targets are divided.
    const VmsByRegion &vms() const
    {
        return m_vms;
    }
    /// Sets the limits of cold targets.
    void applyColdStart(const RefPointer<const ServingRules> &rules, const ColdStartSettings &settings);

private:
    void add(const TargetListEntry &entry);
    void update(GatewayTarget &target, const TargetListEntry &entry);
    void remove(const TargetId &id);
    TargetGroup &groupOf(const GatewayTarget &target);
    void configureCold(GatewayTarget &target) const;

    EventLoop &m_loop;
    const WireNames &m_names;
    std::map<AvailabilityZoneId, RegionId> m_regionsByZone;
    TargetsToCheck m_toCheck;
    std::unordered_map<TargetId, RefPointer<GatewayTarget>> m_targets;
    UnlistedTargetNotices m_unlistedNotices;
    std::unordered_map<ServiceId, std::vector<RegionTargets>> m_groups;
    std::set<AvailabilityZoneId> m_evacuated;
    VmsByRegion m_vms;
    VmId m_ownVm;
    RefPointer<const ServingRules> m_rules;
    ColdStartSettings m_coldStart;
};

} // namespace Sapphire
