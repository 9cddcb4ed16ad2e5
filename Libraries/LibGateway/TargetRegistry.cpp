#include <LibGateway/TargetRegistry.h>

#include <LibCore/Hash.h>
#include <LibGateway/GatewayEvents.h>

#include <algorithm>

namespace Sapphire {

TargetRegistry::TargetRegistry(EventLoop &loop, const WireNames &names,
                               std::map<AvailabilityZoneId, RegionId> regionsByZone)
    : m_loop(loop), m_names(names), m_regionsByZone(std::move(regionsByZone))
{
}

void TargetRegistry::applyChange(const TargetListChange &change)
{
    for (const TargetListEntry &entry : change.changed) {
        const auto found = m_targets.find(entry.id);
        if (found == m_targets.end()) {
            add(entry);
        } else if (found->second->entry().service != entry.service) {
            remove(entry.id);
            add(entry);
        } else {
            update(*found->second, entry);
        }
    }
    for (const TargetId &id : change.removed) {
        remove(id);
    }
}

void TargetRegistry::add(const TargetListEntry &entry)
{
    const auto region = m_regionsByZone.find(entry.availabilityZone);
    Locality locality;
    locality.availabilityZone = entry.availabilityZone;
    if (region != m_regionsByZone.end()) {
        locality.region = region->second;
    }
    const RefPointer<TargetNotices> notices = m_unlistedNotices.take(entry.id, entry.startedAtMilliseconds);
    const RefPointer<GatewayTarget> target =
        makeRefCounted<GatewayTarget>(m_loop, m_names, entry, locality, notices, m_toCheck);
    m_targets.emplace(entry.id, target);
    groupOf(*target).push_back(target);
    configureCold(*target);
    logEvent(GatewayEvents::targetAdded,
             { { "target", entry.id },
               { "service", entry.service },
               { "zone", entry.availabilityZone },
               { "address", entry.address.text() },
               { "draining", entry.isDraining },
               { "leaving", notices->isLeaving() },
               { "coldMilliseconds",
                 std::chrono::duration_cast<Milliseconds>(Deadline(entry.coldUntil).remaining(m_loop.now())).count() },
               { "sequence", entry.sequence } });
}

void TargetRegistry::update(GatewayTarget &target, const TargetListEntry &entry)
{
    const bool isRestarted = entry.startedAtMilliseconds > target.entry().startedAtMilliseconds;
    if (entry.isDraining != target.entry().isDraining || entry.address != target.entry().address || isRestarted) {
        logEvent(GatewayEvents::targetChanged,
                 { { "target", entry.id },
                   { "draining", entry.isDraining },
                   { "restarted", isRestarted },
                   { "wasLeaving", target.notices().isLeaving() },
                   { "address", entry.address.text() },
                   { "sequence", entry.sequence } });
    }
    target.update(entry);
}

void TargetRegistry::remove(const TargetId &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    const RefPointer<GatewayTarget> target = found->second;
    target->setRemoved();
    m_unlistedNotices.keep(id, target->sharedNotices());
    m_toCheck.erase(target);
    std::erase(groupOf(*target), target);
    m_targets.erase(found);
    logEvent(GatewayEvents::targetRemoved, { { "target", id }, { "inFlight", target->load().inFlight() } });
}

void TargetRegistry::applyEvacuations(const std::set<AvailabilityZoneId> &zones)
{
    for (const AvailabilityZoneId &zone : zones) {
        if (!m_evacuated.contains(zone)) {
            logEvent(GatewayEvents::zoneEvacuated, { { "zone", zone } });
        }
    }
    for (const AvailabilityZoneId &zone : m_evacuated) {
        if (!zones.contains(zone)) {
            logEvent(GatewayEvents::zoneReturned, { { "zone", zone } });
            // Its targets may have restarted meanwhile, with empty caches.
            for (const auto &[id, target] : m_targets) {
                if (target->locality().availabilityZone == zone) {
                    target->setUnverified();
                }
            }
        }
    }
    m_evacuated = zones;
}

void TargetRegistry::applyVms(const VmsByRegion &vms, const VmId &own)
{
    m_vms = vms;
    m_ownVm = own;
    for (const auto &[id, target] : m_targets) {
        configureCold(*target);
    }
}

void TargetRegistry::applyColdStart(const RefPointer<const ServingRules> &rules, const ColdStartSettings &settings)
{
    m_rules = rules;
    m_coldStart = settings;
    for (const auto &[id, target] : m_targets) {
        configureCold(*target);
    }
}

void TargetRegistry::configureCold(GatewayTarget &target) const
{
    const ServiceRules *const service = m_rules ? m_rules->findService(target.entry().service) : nullptr;
    const double rate = service != nullptr ? service->coldRequestsPerSecond : 0;
    const int owners = ColdStartLimiter::ownerCount(rate, m_coldStart);
    const bool isOwner =
        m_vms.isAmongHighest(m_ownVm, target.locality().region, target.hash(), static_cast<std::size_t>(owners));
    target.coldLimiter().configure(rate, m_coldStart, isOwner);
}

TargetGroup &TargetRegistry::groupOf(const GatewayTarget &target)
{
    std::vector<RegionTargets> &regions = m_groups[target.entry().service];
    const RegionId &region = target.locality().region;
    const auto found = std::find_if(regions.begin(), regions.end(), [&region](const RegionTargets &group) {
        return group.region == region;
    });
    if (found != regions.end()) {
        return found->targets;
    }
    regions.push_back({ region, {} });
    return regions.back().targets;
}

const std::vector<RegionTargets> &TargetRegistry::regionsOf(const ServiceId &service) const
{
    static const std::vector<RegionTargets> none;
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? none : found->second;
}

bool TargetRegistry::takesWork(const GatewayTarget &target) const
{
    return target.isInService() && (m_evacuated.empty() || !m_evacuated.contains(target.locality().availabilityZone));
}

void TargetRegistry::closeIdle()
{
    for (const auto &[id, target] : m_targets) {
        target->closeIdle(false);
    }
}

} // namespace Sapphire
