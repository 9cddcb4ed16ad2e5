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

/// The targets of a service in one region, those that are out of service included.
struct RegionTargets
{
    RegionId region;
    TargetGroup targets;
};

/// All targets that this VM knows, by service.
class TargetRegistry
{
public:
    /// The regions of the availability zones are those of the settings.
    TargetRegistry(EventLoop &loop, const WireNames &names, std::map<AvailabilityZoneId, RegionId> regionsByZone);

    /// Takes what is new in the list of targets.
    void applyChange(const TargetListChange &change);
    /// Takes the zones to which nothing may be sent.
    void applyEvacuations(const std::set<AvailabilityZoneId> &zones);

    /// Returns the targets of a service, for each region that has some.
    const std::vector<RegionTargets> &regionsOf(const ServiceId &service) const;
    /// Returns all targets, those that are out of service included.
    const std::unordered_map<TargetId, RefPointer<GatewayTarget>> &all() const
    {
        return m_targets;
    }
    /// Returns the targets whose health has to be checked now or later.
    TargetsToCheck &toCheck()
    {
        return m_toCheck;
    }
    /// Whether new work may be sent to the target.
    bool takesWork(const GatewayTarget &target) const;
    /// Closes idle connections that the targets may close soon.
    void closeIdle();
    /// Takes all VMs among which the limits of cold targets are divided.
    void applyVms(const VmsByRegion &vms, const VmId &own);
    /// Takes the limits of cold targets.
    void applyColdStart(const RefPointer<const ServingRules> &rules, const ColdStartSettings &settings);

private:
    void add(const KnownTarget &entry);
    void update(GatewayTarget &target, const KnownTarget &entry);
    void remove(const TargetId &id);
    TargetGroup &groupOf(const GatewayTarget &target);
    void configureCold(GatewayTarget &target) const;

    EventLoop &m_loop;
    const WireNames &m_names;
    std::map<AvailabilityZoneId, RegionId> m_regionsByZone;
    TargetsToCheck m_toCheck;
    std::unordered_map<TargetId, RefPointer<GatewayTarget>> m_targets;
    std::unordered_map<ServiceId, std::vector<RegionTargets>> m_groups;
    std::set<AvailabilityZoneId> m_evacuated;
    VmsByRegion m_vms;
    VmId m_ownVm;
    RefPointer<const ServingRules> m_rules;
    ColdStartSettings m_coldStart;
};

} // namespace Sapphire
