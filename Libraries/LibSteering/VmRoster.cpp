#include <LibSteering/VmRoster.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace Sapphire {

VmRoster::VmRoster(VmId own, Locality ownLocality, VmRosterSettings settings)
    : m_own(std::move(own))
    , m_ownLocality(std::move(ownLocality))
    , m_settings(settings)
    , m_heartbeats(m_own, settings.heartbeats)
{
}

void VmRoster::applyRecords(const std::vector<VmRecord> &records, TimePoint now)
{
    std::set<VmId> listed;
    for (const VmRecord &record : records) {
        listed.insert(record.vm);
        const auto [entry, isNew] = m_entries.try_emplace(record.vm);
        const bool isNewProcess = record.startedAtMilliseconds > entry->second.record.startedAtMilliseconds;
        if (isNew || isNewProcess) {
            // This VM may have restarted and lost what it knew, and VMs of its first list may have died long ago.
            entry->second = { record, now, m_hasList ? now : TimePoint {}, {}, stableHash(record.vm.text()) };
        }
    }
    if (!m_hasList) {
        m_listedAt = now;
    }
    m_hasList = true;
    std::erase_if(m_entries, [&listed](const auto &entry) {
        return !listed.contains(entry.first);
    });
    findNearestRegion();
    planHeartbeats();
}

void VmRoster::planHeartbeats()
{
    std::vector<HeartbeatPlan::Member> members;
    for (const auto &[vm, entry] : m_entries) {
        if (entry.record.locality.region == m_ownLocality.region) {
            members.push_back({ vm, entry.hash });
        }
    }
    m_heartbeats.setMembers(std::move(members));
}

Milliseconds VmRoster::heartbeatTimeoutOf(const VmId &vm) const
{
    return m_settings.heartbeatTimeout + heartbeatDelay(vm);
}

void VmRoster::noteReportedSilent(const VmId &vm, const VmId &reporter, TimePoint now)
{
    const auto found = m_entries.find(vm);
    if (found == m_entries.end()) {
        return;
    }
    // The reporter has waited for longer than the usual time between two heartbeats, so a heartbeat within this time is
    // newer than the silence that it reports.
    const bool isHeardSince =
        now - found->second.lastHeartbeatAt < m_settings.heartbeatTimeout - m_settings.heartbeatInterval;
    if (!isHeardSince) {
        found->second.silenceReporters.insert(reporter);
    }
}

void VmRoster::noteHeartbeat(const VmId &vm, std::int64_t startedAtMilliseconds, VmPresence presence, TimePoint now)
{
    const auto found = m_entries.find(vm);
    if (found == m_entries.end() || startedAtMilliseconds < found->second.record.startedAtMilliseconds) {
        return;
    }
    found->second.record.startedAtMilliseconds = startedAtMilliseconds;
    found->second.lastHeartbeatAt = now;
    found->second.silenceReporters.clear();
    found->second.presence = presence;
}

std::size_t VmRoster::count() const
{
    return std::max<std::size_t>(1, m_entries.size() + (m_entries.contains(m_own) ? 0 : 1));
}

std::vector<VmRecord> VmRoster::peersIn(const RegionId &region) const
{
    std::vector<VmRecord> peers;
    for (const auto &[vm, entry] : m_entries) {
        if (vm != m_own && entry.record.locality.region == region) {
            peers.push_back(entry.record);
        }
    }
    return peers;
}

std::vector<VmRecord> VmRoster::peersInZone() const
{
    std::vector<VmRecord> peers = peersIn(m_ownLocality.region);
    std::erase_if(peers, [this](const VmRecord &peer) {
        return peer.locality.availabilityZone != m_ownLocality.availabilityZone;
    });
    return peers;
}

std::vector<RegionId> VmRoster::regions() const
{
    std::set<RegionId> regions;
    for (const auto &[vm, entry] : m_entries) {
        regions.insert(entry.record.locality.region);
    }
    return { regions.begin(), regions.end() };
}

bool VmRoster::isServing(const VmId &vm, TimePoint now) const
{
    if (vm == m_own) {
        return !m_ownPresence.isLeaving;
    }
    const auto found = m_entries.find(vm);
    if (found == m_entries.end() || found->second.presence.isLeaving) {
        return false;
    }
    // A single reporter may itself have been frozen or disconnected.
    constexpr std::size_t reportersToBelieve = 2;
    const bool isReported = found->second.silenceReporters.size() >= reportersToBelieve;
    return !isReported && now - found->second.lastHeartbeatAt <= heartbeatTimeoutOf(vm);
}

std::vector<VmRecord> VmRoster::serving(TimePoint now) const
{
    std::vector<VmRecord> serving;
    for (const auto &[vm, entry] : m_entries) {
        if (entry.record.locality.region == m_ownLocality.region && isServing(vm, now)) {
            serving.push_back(entry.record);
        }
    }
    return serving;
}

bool VmRoster::isAvailable(const VmId &vm, TimePoint now) const
{
    const auto found = m_entries.find(vm);
    if (found == m_entries.end() || found->second.record.locality.region != m_ownLocality.region) {
        return false;
    }
    const bool isUnheard =
        found->second.lastHeartbeatAt == TimePoint {} && now - m_listedAt < m_settings.startupGracePeriod;
    return isUnheard || isServing(vm, now);
}

std::vector<VmId> VmRoster::readersOf(std::string_view list, TimePoint now) const
{
    struct Ranked
    {
        bool canRead;
        SenderScore score;
        VmId vm;
    };
    const std::uint64_t key = stableHash(list);
    std::vector<Ranked> ranked;
    for (const auto &[vm, entry] : m_entries) {
        if (isAvailable(vm, now)) {
            const VmPresence &presence = vm == m_own ? m_ownPresence : entry.presence;
            ranked.push_back({ !presence.cannotRead, senderScore(key, entry), vm });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.canRead != right.canRead ? left.canRead : left.score > right.score;
    });
    std::vector<VmId> readers;
    readers.reserve(ranked.size());
    for (Ranked &entry : ranked) {
        readers.push_back(std::move(entry.vm));
    }
    return readers;
}

VmRoster::SenderScore VmRoster::senderScore(std::uint64_t key, const Entry &entry)
{
    return { entry.record.processorShare, rendezvousRank(key, entry.hash) };
}

std::size_t VmRoster::readerRank(std::string_view list, bool isReadForAll, TimePoint now) const
{
    const std::vector<VmId> readers = readersOf(list, now);
    const auto before = static_cast<std::size_t>(std::find(readers.begin(), readers.end(), m_own) - readers.begin());
    return before + (isReadForAll && !isNearestToPlatform() ? 1 : 0);
}

std::vector<VmId> VmRoster::relaysOf(std::string_view list, const RegionId &region) const
{
    constexpr std::size_t mostRelays = 2;
    const std::uint64_t key = stableHash(list);
    std::vector<std::pair<SenderScore, VmId>> ranked;
    for (const auto &[vm, entry] : m_entries) {
        if (entry.record.locality.region == region) {
            ranked.emplace_back(senderScore(key, entry), vm);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<VmId> relays;
    for (std::size_t i = 0; i < std::min(ranked.size(), mostRelays); ++i) {
        relays.push_back(ranked[i].second);
    }
    return relays;
}

void VmRoster::findNearestRegion()
{
    m_nearestRegion = {};
    Microseconds nearest = Microseconds::max();
    for (const auto &[vm, entry] : m_entries) {
        const Microseconds roundTrip = entry.record.platformRoundTrip;
        if (roundTrip > Microseconds::zero() && roundTrip < nearest) {
            nearest = roundTrip;
            m_nearestRegion = entry.record.locality.region;
        }
    }
}

std::map<AvailabilityZoneId, const VmRecord *> VmRoster::highestByZone(std::string_view purpose, TimePoint now) const
{
    const std::uint64_t key = stableHash(purpose);
    std::map<AvailabilityZoneId, const VmRecord *> highest;
    std::map<AvailabilityZoneId, double> scores;
    for (const auto &[vm, entry] : m_entries) {
        const double score = weightedRank(rendezvousRank(key, entry.hash), entry.record.processorShare);
        const AvailabilityZoneId &zone = entry.record.locality.availabilityZone;
        if (isAvailable(vm, now) && score > scores[zone]) {
            scores[zone] = score;
            highest[zone] = &entry.record;
        }
    }
    return highest;
}

VmId VmRoster::zoneLeader(TimePoint now) const
{
    const auto highest = highestByZone("head of zone " + m_ownLocality.availabilityZone.text(), now);
    const auto own = highest.find(m_ownLocality.availabilityZone);
    return own == highest.end() ? VmId() : own->second->vm;
}

std::vector<VmRecord> VmRoster::zoneRelays(TimePoint now) const
{
    std::vector<VmRecord> relays;
    for (const auto &[zone, vm] : highestByZone("relay of " + m_own.text(), now)) {
        if (zone != m_ownLocality.availabilityZone) {
            relays.push_back(*vm);
        }
    }
    return relays;
}

std::vector<std::vector<VmId>> VmRoster::forwardersByZone(TimePoint now) const
{
    struct Ranked
    {
        bool isAvailable;
        SenderScore score;
        VmId vm;
    };
    const std::uint64_t key = stableHash("forwarder of " + m_own.text());
    std::map<AvailabilityZoneId, std::vector<Ranked>> zones;
    for (const auto &[vm, entry] : m_entries) {
        if (vm != m_own && entry.record.locality.region == m_ownLocality.region) {
            zones[entry.record.locality.availabilityZone].push_back(
                { isAvailable(vm, now), senderScore(key, entry), vm });
        }
    }
    std::vector<std::vector<VmId>> forwarders;
    for (auto &[zone, ranked] : zones) {
        std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
            return left.isAvailable != right.isAvailable ? left.isAvailable : left.score > right.score;
        });
        std::vector<VmId> &vms = forwarders.emplace_back();
        for (Ranked &entry : ranked) {
            vms.push_back(std::move(entry.vm));
        }
    }
    return forwarders;
}

const VmRecord *VmRoster::find(const VmId &vm) const
{
    const auto found = m_entries.find(vm);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<VmId> VmRoster::silentFor(Milliseconds time, TimePoint now) const
{
    std::vector<VmId> silent;
    for (const auto &[vm, entry] : m_entries) {
        const bool isOwnRegion = entry.record.locality.region == m_ownLocality.region;
        const Milliseconds longest = time + heartbeatDelay(vm);
        if (vm != m_own && isOwnRegion && now - std::max(entry.lastHeartbeatAt, entry.listedAt) > longest) {
            silent.push_back(vm);
        }
    }
    return silent;
}

} // namespace Sapphire
