#pragma once

#include <LibCore/Deadline.h>
#include <LibSteering/HeartbeatPlan.h>
#include <LibSteering/VmRecord.h>

#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace Sapphire {

struct VmRosterSettings
{
    /// A VM of this region without a heartbeat for longer than this counts as dead. For a VM that is added after the
    /// first list, the time starts when it is added.
    Milliseconds heartbeatTimeout { 2'600 };
    /// For this long after the first list, VMs without a heartbeat yet count as available readers and relays: all VMs
    /// may have started at the same moment.
    Milliseconds startupGracePeriod { 1'200 };
    /// Time between the heartbeats of a VM to another one that gets each of them.
    Milliseconds heartbeatInterval { 1'000 };
    HeartbeatSettings heartbeats;
};

/// The state that a VM announces with each heartbeat.
struct VmPresence
{
    bool isLeaving { false }; ///< It is stopping and should get no more callers.
    bool cannotRead { false }; ///< It can't read the platform's lists.
};

/// Which VMs exist, and which of this region are alive. All VMs register in a list of the platform; those of one region
/// send each other heartbeats.
class VmRoster
{
public:
    VmRoster(VmId own, Locality ownLocality, VmRosterSettings settings);

    /// Takes the complete list of VMs.
    void applyRecords(const std::vector<VmRecord> &records, TimePoint now);
    /// A heartbeat of a VM has arrived. Those of an earlier process of the VM are ignored.
    void noteHeartbeat(const VmId &vm, std::int64_t startedAtMilliseconds, VmPresence presence, TimePoint now);

    /// Another VM reports that a VM that it watches is silent. A VM that two others report counts as dead, until its
    /// next heartbeat arrives here. The report is ignored if one arrived recently.
    void noteReportedSilent(const VmId &vm, const VmId &reporter, TimePoint now);
    /// Returns the VMs that get the next heartbeat.
    std::vector<VmId> nextHeartbeatReceivers()
    {
        return m_heartbeats.nextReceivers();
    }
    /// Returns whether this VM has to report it to others if the VM becomes silent.
    bool mustReportSilence(const VmId &vm) const
    {
        return m_heartbeats.needsReports() && m_heartbeats.isWatching(vm);
    }
    /// Returns the time between the heartbeats of a VM that this one gets.
    Milliseconds expectedHeartbeatInterval(const VmId &vm) const
    {
        return m_settings.heartbeatInterval * static_cast<std::int64_t>(m_heartbeats.heartbeatsBetween(vm));
    }

    /// Returns whether this region is so large that a VM sends most other VMs only some of its heartbeats, in turn.
    bool isRegionLarge() const
    {
        return m_heartbeats.needsReports();
    }
    const RegionId &ownRegion() const
    {
        return m_ownLocality.region;
    }

    /// Returns the number of registered VMs, including this one, among which limits are divided.
    std::size_t count() const;
    /// Returns the registered VMs of a region, except this one.
    std::vector<VmRecord> peersIn(const RegionId &region) const;
    /// Returns the registered VMs of this availability zone, except this one.
    std::vector<VmRecord> peersInZone() const;
    /// Returns the regions of all registered VMs.
    std::vector<RegionId> regions() const;
    /// Returns whether callers may be sent to the VM. False for VMs of other regions, which send no heartbeats here.
    bool isServing(const VmId &vm, TimePoint now) const;
    /// Returns the serving VMs of this region, including this one unless it is leaving.
    std::vector<VmRecord> serving(TimePoint now) const;
    const VmRecord *find(const VmId &vm) const;
    /// Returns the VMs of this region that have sent no heartbeat for longer than the given time, plus the extra time
    /// between their heartbeats to this VM. They should be removed from the list.
    std::vector<VmId> silentFor(Milliseconds time, TimePoint now) const;
    /// Returns the available VMs of this region in the order in which they read a list of the platform for the others;
    /// those that announce that they can read it come first. VMs with the same information agree on the order.
    std::vector<VmId> readersOf(std::string_view list, TimePoint now) const;
    /// Returns how many VMs come before this one in that order. If one region reads for all, its first VM also comes
    /// before the VMs of the other regions.
    std::size_t readerRank(std::string_view list, bool isReadForAll, TimePoint now) const;
    /// Returns the VMs of a region that get what another region has read and forward it within their own region. There
    /// are two, since it is not known which VMs of other regions are alive.
    std::vector<VmId> relaysOf(std::string_view list, const RegionId &region) const;
    /// Returns whether this region is the nearest to the platform by the round trips that VMs registered, or none has
    /// registered one.
    bool isNearestToPlatform() const
    {
        return m_nearestRegion.isEmpty() || m_nearestRegion == m_ownLocality.region;
    }
    /// Returns the VM of this availability zone, possibly this one, from which the others of the zone first request
    /// what they miss. Empty if no VM is available.
    VmId zoneLeader(TimePoint now) const;
    /// Returns an available VM in each other availability zone of this region, to which this VM sends what it has read
    /// and which forwards it within its zone. The choice depends on the sender: if two VMs send the same, they mostly
    /// use different relays, so that a relay that has just died loses only one of the two messages.
    std::vector<VmRecord> zoneRelays(TimePoint now) const;
    /// Returns the other VMs of this region, by availability zone, in the order in which they forward documents: those
    /// that are available first, of these the ones with the largest processor share. Among equal ones the order depends
    /// on the sender, so that a VM that has just died is not every sender's first one.
    std::vector<std::vector<VmId>> forwardersByZone(TimePoint now) const;
    /// Returns whether the list of VMs was read.
    bool hasList() const
    {
        return m_hasList;
    }
    /// Returns the state that this VM announces with its heartbeats.
    const VmPresence &ownPresence() const
    {
        return m_ownPresence;
    }
    void setOwnPresence(VmPresence presence)
    {
        m_ownPresence = presence;
    }

private:
    struct Entry
    {
        VmRecord record;
        TimePoint listedAt {};
        TimePoint lastHeartbeatAt {};
        VmPresence presence {};
        std::uint64_t hash { 0 }; ///< Hash of the VM's id.
        std::set<VmId> silenceReporters {}; ///< VMs that reported it silent since its last heartbeat.
    };

    /// Returns whether the VM may be chosen as reader, relay or zone leader of this region.
    bool isAvailable(const VmId &vm, TimePoint now) const;
    /// The constant part of a VM's score in the order of readers and relays: first its processor share, then its rank.
    /// The processor share comes first, since a broadcast to a hundred VMs would fill the link of a small VM for
    /// seconds.
    using SenderScore = std::pair<double, std::uint64_t>;
    static SenderScore senderScore(std::uint64_t key, const Entry &entry);
    /// Returns, for each availability zone of this region, the available VM with the highest rank for a purpose,
    /// weighted by processor share.
    std::map<AvailabilityZoneId, const VmRecord *> highestByZone(std::string_view purpose, TimePoint now) const;
    void findNearestRegion();
    void planHeartbeats();
    /// Returns the extra time between two heartbeats of a VM because this one does not get each of them.
    Milliseconds heartbeatDelay(const VmId &vm) const
    {
        return expectedHeartbeatInterval(vm) - m_settings.heartbeatInterval;
    }
    /// Returns after how long without a heartbeat the VM counts as dead.
    Milliseconds heartbeatTimeoutOf(const VmId &vm) const;

    VmId m_own;
    Locality m_ownLocality;
    VmRosterSettings m_settings;
    std::map<VmId, Entry> m_entries;
    bool m_hasList { false };
    RegionId m_nearestRegion;
    HeartbeatPlan m_heartbeats;
    TimePoint m_listedAt {}; ///< When the first list was read.
    VmPresence m_ownPresence;
};

} // namespace Sapphire
