#include <LibFleet/Membership.h>

#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibFleet/FleetEvents.h>

#include <algorithm>

namespace Sapphire {

namespace {

/// Mixes a value into a running hash; the multiplier is that of 64-bit FNV-1a.
std::uint64_t mix(std::uint64_t hash, std::uint64_t value)
{
    constexpr std::uint64_t multiplier = 0x100000001b3;
    constexpr unsigned fold = 29;
    const std::uint64_t product = (hash ^ value) * multiplier;
    return product ^ (product >> fold);
}

std::uint64_t mix(std::uint64_t hash, const std::string &text)
{
    return mix(hash, stableHash(text));
}

std::uint64_t mix(std::uint64_t hash, const std::vector<WireKey> &keys)
{
    hash = mix(hash, keys.size());
    for (const WireKey key : keys) {
        hash = mix(hash, key);
    }
    return hash;
}

bool contains(const std::vector<WireKey> &keys, WireKey key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

std::set<KeyId> intersection(const std::set<KeyId> &left, const std::set<KeyId> &right)
{
    std::set<KeyId> common;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(), std::inserter(common, common.end()));
    return common;
}

} // namespace

WireKey wireKeyOf(const VmIncarnation &process)
{
    return static_cast<WireKey>(mix(stableHash(process.vm.text()), process.incarnation.value()));
}

WireKey ZoneSummary::contentKey() const
{
    std::uint64_t hash = stableHash(locality.region.text());
    hash = mix(hash, locality.availabilityZone.text());
    hash = mix(hash, lowestVersion.value());
    for (const Unconfirmed &vm : unconfirmed) {
        hash = mix(hash, vm.key);
        hash = mix(hash, vm.version.value());
    }
    for (const KeyId &key : withdrawals) {
        hash = mix(hash, key.text());
    }
    hash = mix(hash, suspects);
    hash = mix(hash, leaving);
    hash = mix(hash, stale);
    return static_cast<WireKey>(mix(hash, directoryDigest));
}

std::uint64_t ZoneDirectory::digest() const
{
    std::uint64_t hash = stableHash(locality.region.text());
    hash = mix(hash, locality.availabilityZone.text());
    for (const Vm &vm : vms) {
        hash = mix(hash, vm.process.vm.text());
        hash = mix(hash, vm.process.incarnation.value());
        hash = mix(hash, vm.endpoints.address);
        hash = mix(hash, vm.endpoints.callerPort);
        hash = mix(hash, vm.endpoints.fleetPort);
    }
    return hash;
}

Membership::Membership(VmIncarnation self, Locality locality, VmEndpoints endpoints, MembershipSettings settings)
    : m_self(std::move(self)), m_locality(std::move(locality)), m_settings(settings)
{
    FleetMember own { m_self };
    own.endpoints = std::move(endpoints);
    own.revision = 1;
    own.key = wireKeyOf(m_self);
    m_keys.emplace(own.key, m_self.vm);
    m_members.emplace(m_self.vm, std::move(own));
    updateDirectoryDigest();
}

std::vector<RosterVm> Membership::vms(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    std::map<VmId, RosterVm> roster;
    for (const auto &[vm, listed] : m_listed) {
        roster.emplace(vm, rosterVm(listed, now));
    }
    for (const auto &[locality, zone] : m_zones) {
        addZone(roster, zone, now);
    }
    for (const auto &[vm, member] : m_members) {
        if (!isForgotten(member, now)) {
            roster.insert_or_assign(vm, rosterVm(member, now));
        }
    }
    std::vector<RosterVm> result;
    result.reserve(roster.size());
    for (auto &[vm, entry] : roster) {
        result.push_back(std::move(entry));
    }
    return result;
}

std::set<VmId> Membership::listedVms() const
{
    const std::lock_guard guard(m_mutex);
    std::set<VmId> result;
    for (const auto &[vm, listed] : m_listed) {
        result.insert(vm);
    }
    return result;
}

RosterVm Membership::rosterVm(const Listed &listed, TimePoint now) const
{
    RosterVm entry;
    entry.process.vm = listed.vm.vm;
    entry.locality = listed.vm.locality;
    entry.endpoints = listed.vm.endpoints;
    entry.isLeaving = listed.vm.isLeaving;
    entry.isSuspect = now - listed.firstListedAt > m_settings.firstContactTimeout;
    return entry;
}

RosterVm Membership::rosterVm(const FleetMember &member, TimePoint now) const
{
    const auto listed = m_listed.find(member.process.vm);
    RosterVm entry;
    entry.process = member.process;
    entry.locality = m_locality;
    entry.endpoints = member.endpoints;
    entry.isSuspect = isSilent(member, now);
    entry.isLeaving = member.isLeaving || (listed != m_listed.end() && listed->second.vm.isLeaving);
    entry.isFresh = member.isFresh;
    entry.confirmedVersion = member.version;
    entry.knownWithdrawals = member.withdrawals;
    return entry;
}

void Membership::addZone(std::map<VmId, RosterVm> &roster, const Zone &zone, TimePoint now) const
{
    const bool isSilentZone = isZoneSilent(zone, now);
    const bool isCurrent = zone.hasSummary && zone.directoryDigest == zone.summary.directoryDigest;
    for (const ZoneDirectory::Vm &vm : zone.directory.vms) {
        const WireKey key = wireKeyOf(vm.process);
        const auto listed = m_listed.find(vm.process.vm);
        RosterVm entry;
        entry.process = vm.process;
        entry.locality = zone.directory.locality;
        entry.endpoints = vm.endpoints;
        entry.isSuspect = isSilentZone || contains(zone.summary.suspects, key);
        entry.isLeaving =
            contains(zone.summary.leaving, key) || (listed != m_listed.end() && listed->second.vm.isLeaving);
        entry.isFresh = !contains(zone.summary.stale, key);
        // The summary covers only the processes of the directory that it names, so its version and withdrawals don't
        // apply to those of another directory.
        if (isCurrent) {
            entry.confirmedVersion = zone.summary.lowestVersion;
            for (const ZoneSummary::Unconfirmed &unconfirmed : zone.summary.unconfirmed) {
                if (unconfirmed.key == key) {
                    entry.confirmedVersion = unconfirmed.version;
                }
            }
            if (!entry.isSuspect) {
                entry.knownWithdrawals = zone.summary.withdrawals;
            }
        }
        roster.insert_or_assign(vm.process.vm, std::move(entry));
    }
}

bool Membership::isSilent(const FleetMember &member, TimePoint now) const
{
    return member.process != m_self && now - member.heardAt > m_settings.heartbeatTimeout;
}

bool Membership::isZoneSilent(const Zone &zone, TimePoint now) const
{
    return !zone.hasSummary || now - zone.summary.statedAt > m_settings.summaryTimeout;
}

bool Membership::isForgotten(const FleetMember &member, TimePoint now) const
{
    return member.process != m_self && !m_listed.contains(member.process.vm)
        && now - member.heardAt > m_settings.forgetAfter;
}

void Membership::takeList(const std::vector<ListedVm> &list, TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    std::map<VmId, Listed> listed;
    for (const ListedVm &vm : list) {
        const auto known = m_listed.find(vm.vm);
        listed.emplace(vm.vm, Listed { vm, known == m_listed.end() ? now : known->second.firstListedAt });
    }
    m_listed = std::move(listed);
    if (!m_firstListAt) {
        m_firstListAt = now;
    }
    forgetSilent(now);
    m_listedOnly.clear();
    m_unheard.clear();
    for (const auto &[vm, entry] : m_listed) {
        noteUnknown(vm);
    }
}

void Membership::forgetSilent(TimePoint now)
{
    const std::size_t count = m_members.size();
    for (auto member = m_members.begin(); member != m_members.end();) {
        if (isForgotten(member->second, now)) {
            m_keys.erase(member->second.key);
            member = m_members.erase(member);
        } else {
            ++member;
        }
    }
    if (m_members.size() != count) {
        updateDirectoryDigest();
    }
    std::set<Locality> listedLocalities;
    for (const auto &[vm, listed] : m_listed) {
        listedLocalities.insert(listed.vm.locality);
    }
    for (auto zone = m_zones.begin(); zone != m_zones.end();) {
        if (!listedLocalities.contains(zone->first) && now - zone->second.summary.statedAt > m_settings.forgetAfter) {
            forgetDirectory(zone->second);
            zone = m_zones.erase(zone);
        } else {
            ++zone;
        }
    }
}

void Membership::updateOwn(ConfigurationVersion version, const std::set<KeyId> &withdrawals)
{
    const std::lock_guard guard(m_mutex);
    FleetMember &own = m_members.at(m_self.vm);
    if (own.version == version && own.withdrawals == withdrawals) {
        return;
    }
    own.version = version;
    own.withdrawals = withdrawals;
    ++own.revision;
}

void Membership::setLeaving(bool isLeaving)
{
    const std::lock_guard guard(m_mutex);
    FleetMember &own = m_members.at(m_self.vm);
    if (own.isLeaving != isLeaving) {
        own.isLeaving = isLeaving;
        ++own.revision;
    }
}

void Membership::setFresh(bool isFresh)
{
    const std::lock_guard guard(m_mutex);
    FleetMember &own = m_members.at(m_self.vm);
    if (own.isFresh != isFresh) {
        own.isFresh = isFresh;
        ++own.revision;
    }
}

void Membership::noteHeartbeat(const VmIncarnation &process, TimePoint at)
{
    noteHeartbeat(wireKeyOf(process), at);
}

void Membership::noteHeartbeat(WireKey key, TimePoint at)
{
    const std::lock_guard guard(m_mutex);
    const auto vm = m_keys.find(key);
    if (vm == m_keys.end()) {
        return;
    }
    FleetMember &member = m_members.at(vm->second);
    member.heardAt = std::max(member.heardAt, at);
}

void Membership::takeMember(const FleetMember &member, TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    const auto known = m_keys.find(member.key);
    if (known != m_keys.end()) {
        FleetMember &held = m_members.at(known->second);
        if (held.process == m_self) {
            return;
        }
        held.heardAt = std::max(held.heardAt, member.heardAt);
        if (member.revision > held.revision) {
            held.isLeaving = member.isLeaving;
            held.isFresh = member.isFresh;
            held.version = member.version;
            held.withdrawals = member.withdrawals;
            held.revision = member.revision;
        }
        return;
    }
    const bool hasIdentity = !member.process.vm.isEmpty() && !member.endpoints.address.empty();
    if (!hasIdentity || isForgotten(member, now)) {
        return;
    }
    if (member.process.vm == m_self.vm) {
        if (member.process.incarnation > m_self.incarnation && !m_isSuperseded) {
            m_isSuperseded = true;
            logEvent(fleetSelfSuperseded, { { "vm", m_self.vm }, { "incarnation", member.process.incarnation } });
        }
        return;
    }
    const auto older = m_members.find(member.process.vm);
    if (older != m_members.end()) {
        if (older->second.process.incarnation > member.process.incarnation) {
            return;
        }
        m_keys.erase(older->second.key);
        m_members.erase(older);
    }
    m_keys.emplace(member.key, member.process.vm);
    m_members.emplace(member.process.vm, member);
    updateDirectoryDigest();
    noteKnown(member.process.vm);
}

bool Membership::takeSummary(const ZoneSummary &summary)
{
    if (summary.locality == m_locality) {
        return false;
    }
    const WireKey contentKey = summary.contentKey();
    const std::lock_guard guard(m_mutex);
    Zone &zone = m_zones[summary.locality];
    if (zone.hasSummary && zone.summary.statedAt >= summary.statedAt) {
        return false;
    }
    const bool isContentNew = zone.contentKey != contentKey;
    zone.summary = summary;
    zone.contentKey = contentKey;
    zone.hasSummary = true;
    return isContentNew;
}

std::optional<std::uint64_t> Membership::refreshSummary(WireKey contentKey, TimePoint statedAt)
{
    const std::lock_guard guard(m_mutex);
    for (auto &[locality, zone] : m_zones) {
        if (zone.hasSummary && zone.contentKey == contentKey) {
            zone.summary.statedAt = std::max(zone.summary.statedAt, statedAt);
            return zone.summary.directoryDigest;
        }
    }
    return std::nullopt;
}

void Membership::takeDirectory(const ZoneDirectory &directory)
{
    if (directory.locality == m_locality) {
        return;
    }
    const std::uint64_t digest = directory.digest();
    const std::lock_guard guard(m_mutex);
    Zone &zone = m_zones[directory.locality];
    // The summary names the current directory, but any directory is better than none.
    if (zone.directoryDigest == 0 || (zone.hasSummary && zone.summary.directoryDigest == digest)) {
        replaceDirectory(zone, directory, digest);
    }
}

void Membership::replaceDirectory(Zone &zone, const ZoneDirectory &directory, std::uint64_t digest)
{
    forgetDirectory(zone);
    zone.directory = directory;
    zone.directoryDigest = digest;
    for (std::size_t i = 0; i < directory.vms.size(); ++i) {
        const VmId &vm = directory.vms[i].process.vm;
        m_directoryPositions.insert_or_assign(vm, DirectoryPosition { &zone, i });
        noteKnown(vm);
    }
}

void Membership::forgetDirectory(Zone &zone)
{
    for (const ZoneDirectory::Vm &vm : zone.directory.vms) {
        const auto position = m_directoryPositions.find(vm.process.vm);
        if (position != m_directoryPositions.end() && position->second.zone == &zone) {
            m_directoryPositions.erase(position);
            noteUnknown(vm.process.vm);
        }
    }
    zone.directory.vms.clear();
}

void Membership::noteUnknown(const VmId &vm)
{
    const auto listed = m_listed.find(vm);
    if (listed == m_listed.end() || m_members.contains(vm) || m_directoryPositions.contains(vm)) {
        return;
    }
    m_listedOnly.insert(vm);
    if (listed->second.vm.locality == m_locality) {
        m_unheard.insert(vm);
    }
}

void Membership::noteKnown(const VmId &vm)
{
    m_listedOnly.erase(vm);
    m_unheard.erase(vm);
}

void Membership::visitMembers(TimePoint now, const std::function<void(const FleetMember &)> &visitor) const
{
    const std::lock_guard guard(m_mutex);
    for (const auto &[vm, member] : m_members) {
        if (member.process == m_self) {
            FleetMember own = member;
            own.heardAt = now;
            visitor(own);
        } else {
            visitor(member);
        }
    }
}

void Membership::visitSummaries(const std::function<void(const ZoneSummary &, WireKey)> &visitor) const
{
    const std::lock_guard guard(m_mutex);
    for (const auto &[locality, zone] : m_zones) {
        if (zone.hasSummary) {
            visitor(zone.summary, zone.contentKey);
        }
    }
}

ZoneSummary Membership::ownSummary(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    ZoneSummary summary { m_locality, now };
    summary.directoryDigest = m_ownDigest;
    summary.withdrawals = m_members.at(m_self.vm).withdrawals;
    std::vector<ZoneSummary::Unconfirmed> versions;
    versions.reserve(m_members.size());
    for (const auto &[vm, member] : m_members) {
        versions.push_back({ member.key, member.version });
        if (isSilent(member, now)) {
            summary.suspects.push_back(member.key);
        } else if (!summary.withdrawals.empty()) {
            summary.withdrawals = intersection(summary.withdrawals, member.withdrawals);
        }
        if (member.isLeaving) {
            summary.leaving.push_back(member.key);
        }
        if (!member.isFresh) {
            summary.stale.push_back(member.key);
        }
    }
    std::sort(versions.begin(), versions.end(), [](const auto &left, const auto &right) {
        return std::pair(left.version, left.key) < std::pair(right.version, right.key);
    });
    // The VMs of a version are listed all or not at all. While a change spreads, more VMs still have the previous
    // version than can be listed; then the summary doesn't change, and its lowest version never decreases.
    std::size_t unconfirmedCount = 0;
    for (std::size_t i = 1; i < versions.size() && i <= ZoneSummary::unconfirmedLimit; ++i) {
        if (versions[i].version > versions[i - 1].version) {
            unconfirmedCount = i;
        }
    }
    summary.lowestVersion = versions[unconfirmedCount].version;
    versions.resize(unconfirmedCount);
    summary.unconfirmed = std::move(versions);
    return summary;
}

bool Membership::maySendSummary(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    return m_firstListAt && (m_unheard.empty() || now - *m_firstListAt > m_settings.firstContactTimeout);
}

ZoneDirectory Membership::ownDirectoryLocked() const
{
    ZoneDirectory directory { m_locality, {} };
    directory.vms.reserve(m_members.size());
    for (const auto &[vm, member] : m_members) {
        directory.vms.push_back({ member.process, member.endpoints });
    }
    return directory;
}

ZoneDirectory Membership::ownDirectory() const
{
    const std::lock_guard guard(m_mutex);
    return ownDirectoryLocked();
}

std::uint64_t Membership::ownDirectoryDigest() const
{
    const std::lock_guard guard(m_mutex);
    return m_ownDigest;
}

void Membership::updateDirectoryDigest()
{
    m_ownDigest = ownDirectoryLocked().digest();
}

std::optional<ZoneDirectory> Membership::directory(WireKey digestKey) const
{
    const std::lock_guard guard(m_mutex);
    if (static_cast<WireKey>(m_ownDigest) == digestKey) {
        return ownDirectoryLocked();
    }
    for (const auto &[locality, zone] : m_zones) {
        if (zone.directoryDigest != 0 && static_cast<WireKey>(zone.directoryDigest) == digestKey) {
            return zone.directory;
        }
    }
    return std::nullopt;
}

bool Membership::hasDirectory(std::uint64_t digest) const
{
    const std::lock_guard guard(m_mutex);
    return std::any_of(m_zones.begin(), m_zones.end(), [&](const auto &item) {
        return item.second.directoryDigest == digest;
    });
}

std::vector<PeerCandidate> Membership::candidates(TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    std::vector<PeerCandidate> result;
    result.reserve(m_members.size() + m_directoryPositions.size());
    for (const auto &[vm, member] : m_members) {
        if (!isForgotten(member, now)) {
            result.push_back({ vm, m_locality, isSilent(member, now) });
        }
    }
    for (const auto &[locality, zone] : m_zones) {
        const bool isSilentZone = isZoneSilent(zone, now);
        for (const ZoneDirectory::Vm &vm : zone.directory.vms) {
            const bool isSuspect = isSilentZone
                || (!zone.summary.suspects.empty() && contains(zone.summary.suspects, wireKeyOf(vm.process)));
            result.push_back({ vm.process.vm, locality, isSuspect });
        }
    }
    for (const VmId &vm : m_listedOnly) {
        const Listed &listed = m_listed.at(vm);
        result.push_back({ vm, listed.vm.locality, rosterVm(listed, now).isSuspect });
    }
    return result;
}

std::optional<VmEndpoints> Membership::endpoints(const VmId &vm) const
{
    const std::lock_guard guard(m_mutex);
    const auto member = m_members.find(vm);
    if (member != m_members.end()) {
        return member->second.endpoints;
    }
    const auto position = m_directoryPositions.find(vm);
    if (position != m_directoryPositions.end()) {
        return position->second.zone->directory.vms[position->second.index].endpoints;
    }
    const auto listed = m_listed.find(vm);
    if (listed != m_listed.end()) {
        return listed->second.vm.endpoints;
    }
    return std::nullopt;
}

bool Membership::isSuperseded() const
{
    const std::lock_guard guard(m_mutex);
    return m_isSuperseded;
}

} // namespace Sapphire
