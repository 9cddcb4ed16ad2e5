#include <LibGateway/TargetBook.h>

#include <LibCore/Hash.h>
#include <LibGateway/GatewayEvents.h>

#include <algorithm>

namespace Sapphire {

TargetBook::TargetBook(EventLoop &loop, const WireNames &names, std::map<AvailabilityZoneId, RegionId> regionsByZone)
    : m_loop(loop), m_names(names), m_regionsByZone(std::move(regionsByZone))
{
}

void TargetBook::applyChange(const TargetListChange &change)
{
    for (const KnownTarget &known : change.changed) {
        const auto found = m_targets.find(known.id);
        if (found == m_targets.end()) {
            add(known);
        } else if (found->second->known().service != known.service) {
            remove(known.id);
            add(known);
        } else {
            update(*found->second, known);
        }
    }
    for (const TargetId &id : change.removed) {
        remove(id);
    }
}

void TargetBook::add(const KnownTarget &known)
{
    const auto region = m_regionsByZone.find(known.availabilityZone);
    Locality place;
    place.availabilityZone = known.availabilityZone;
    if (region != m_regionsByZone.end()) {
        place.region = region->second;
    }
    const RefPointer<GatewayTarget> target = makeRefCounted<GatewayTarget>(m_loop, m_names, known, place, m_toCheck);
    m_targets.emplace(known.id, target);
    groupOf(*target).push_back(target);
    configureCold(*target);
    logEvent(GatewayEvents::targetAdded,
             { { "target", known.id },
               { "service", known.service },
               { "zone", known.availabilityZone },
               { "address", known.address },
               { "draining", known.isDraining },
               { "coldMilliseconds",
                 std::chrono::duration_cast<Milliseconds>(Deadline(known.coldUntil).remaining(m_loop.now())).count() },
               { "sequence", known.sequence } });
}

void TargetBook::update(GatewayTarget &target, const KnownTarget &known)
{
    const bool isRestarted = known.startedAtMilliseconds > target.known().startedAtMilliseconds;
    if (known.isDraining != target.known().isDraining || known.address != target.known().address || isRestarted) {
        logEvent(GatewayEvents::targetChanged,
                 { { "target", known.id },
                   { "draining", known.isDraining },
                   { "restarted", isRestarted },
                   { "address", known.address },
                   { "sequence", known.sequence } });
    }
    target.update(known);
}

void TargetBook::remove(const TargetId &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    const RefPointer<GatewayTarget> target = found->second;
    target->setGone();
    m_toCheck.erase(target);
    std::erase(groupOf(*target), target);
    m_targets.erase(found);
    logEvent(GatewayEvents::targetRemoved, { { "target", id }, { "inFlight", target->load().inFlight() } });
}

void TargetBook::applyEvacuations(const std::set<AvailabilityZoneId> &zones)
{
    for (const AvailabilityZoneId &zone : zones) {
        if (!m_evacuated.contains(zone)) {
            logEvent(GatewayEvents::zoneEvacuated, { { "zone", zone } });
        }
    }
    for (const AvailabilityZoneId &zone : m_evacuated) {
        if (!zones.contains(zone)) {
            logEvent(GatewayEvents::zoneReturned, { { "zone", zone } });
            // Its targets may have lost their caches meanwhile.
            for (const auto &[id, target] : m_targets) {
                if (target->place().availabilityZone == zone) {
                    target->setSuspect();
                }
            }
        }
    }
    m_evacuated = zones;
}

void TargetBook::applyVms(const VmsByRegion &vms, const VmId &own)
{
    m_vms = vms;
    m_ownVm = own;
    for (const auto &[id, target] : m_targets) {
        configureCold(*target);
    }
}

void TargetBook::applyColdStart(const RefPointer<const ServingRules> &rules, const ColdStartSettings &settings)
{
    m_rules = rules;
    m_coldStart = settings;
    for (const auto &[id, target] : m_targets) {
        configureCold(*target);
    }
}

void TargetBook::configureCold(GatewayTarget &target) const
{
    const ServiceRules *const service = m_rules ? m_rules->findService(target.known().service) : nullptr;
    const double rate = service != nullptr ? service->coldRequestsPerSecond : 0;
    const int owners = ColdStartLimiter::ownerCount(rate, m_coldStart);
    const bool isOwner =
        m_vms.isAmongHighest(m_ownVm, target.place().region, target.hash(), static_cast<std::size_t>(owners));
    target.coldLimiter().configure(rate, m_coldStart, isOwner);
}

TargetGroup &TargetBook::groupOf(const GatewayTarget &target)
{
    std::vector<RegionTargets> &regions = m_groups[target.known().service];
    const RegionId &region = target.place().region;
    const auto found = std::find_if(regions.begin(), regions.end(), [&region](const RegionTargets &entry) {
        return entry.region == region;
    });
    if (found != regions.end()) {
        return found->targets;
    }
    regions.push_back({ region, {} });
    return regions.back().targets;
}

const std::vector<RegionTargets> &TargetBook::regionsOf(const ServiceId &service) const
{
    static const std::vector<RegionTargets> none;
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? none : found->second;
}

bool TargetBook::takesWork(const GatewayTarget &target) const
{
    return target.isInService() && (m_evacuated.empty() || !m_evacuated.contains(target.place().availabilityZone));
}

void TargetBook::closeIdle()
{
    for (const auto &[id, target] : m_targets) {
        target->closeIdle(false);
    }
}

} // namespace Sapphire
