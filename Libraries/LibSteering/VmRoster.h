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
    /// A VM of the own region that has been silent for longer is taken for dead. One that enters after the first list
    /// counts as heard at that moment.
    Milliseconds longestSilence { 2'600 };
    /// After the first list, VMs that were not heard yet count as able to read for this long: all VMs may have started
    /// at the same moment.
    Milliseconds startTime { 1'200 };
    /// A VM tells each other one that hears all its heartbeats so often that it lives.
    Milliseconds heartbeatInterval { 1'000 };
    HeartbeatSettings heartbeats;
};

/// What a VM says of itself with each heartbeat.
struct VmPresence
{
    bool isLeaving { false }; ///< It is stopping and wants no more callers.
    bool cannotRead { false }; ///< It can't read the platform's lists.
};

/// Which VMs there are, and which of the own region are alive: all VMs enter a list and those of one region tell each
/// other that they live.
class VmRoster
{
public:
    VmRoster(VmId own, Locality ownPlace, VmRosterSettings settings);

    /// Takes the complete list.
    void applyRecords(const std::vector<VmRecord> &records, TimePoint now);
    /// A VM has said that it lives. Words of an earlier process of it are ignored.
    void noteHeard(const VmId &vm, std::int64_t startedAtMilliseconds, VmPresence presence, TimePoint now);

    /// Another VM has heard no heartbeat of a VM that it watches. Two that say so are believed, unless this VM has
    /// heard it since.
    void noteReportedSilent(const VmId &vm, const VmId &reporter, TimePoint now);
    /// Returns the VMs that get the next heartbeat.
    std::vector<VmId> nextHeartbeatReceivers()
    {
        return m_heartbeats.nextReceivers();
    }
    /// Whether this VM has to tell the others if the VM falls silent.
    bool mustReportSilence(const VmId &vm) const
    {
        return m_heartbeats.needsReports() && m_heartbeats.isWatching(vm);
    }
    /// Returns how long a living VM may be silent here if all its heartbeats arrive.
    Milliseconds heartbeatTime(const VmId &vm) const
    {
        return m_settings.heartbeatInterval * static_cast<std::int64_t>(m_heartbeats.heartbeatsBetween(vm));
    }

    /// Whether the own region is so large that its VMs hear most heartbeats of each other in turn.
    bool isRegionLarge() const
    {
        return m_heartbeats.needsReports();
    }
    const RegionId &ownRegion() const
    {
        return m_ownPlace.region;
    }

    /// VMs that are entered, this one included: the number among which limits are divided.
    std::size_t count() const;
    /// All entered VMs of the region but this one.
    std::vector<VmRecord> peersIn(const RegionId &region) const;
    /// All entered VMs of the own availability zone but this one.
    std::vector<VmRecord> peersInZone() const;
    /// The regions of all entered VMs.
    std::vector<RegionId> regions() const;
    /// Whether the VM may be sent callers. Only VMs of the own region are known to be alive.
    bool isServing(const VmId &vm, TimePoint now) const;
    /// The serving VMs of the own region, this one included unless it leaves.
    std::vector<VmRecord> serving(TimePoint now) const;
    const VmRecord *find(const VmId &vm) const;
    /// VMs of the own region that have been silent for longer than the given time, beyond the time between two
    /// heartbeats, and should be taken from the list.
    std::vector<VmId> silentFor(Milliseconds time, TimePoint now) const;
    /// Returns the VMs of the own region in the order in which they read a list of the platform for the others: those
    /// that can come first. All VMs that know the same agree on it.
    std::vector<VmId> readersOf(std::string_view list, TimePoint now) const;
    /// Returns how many VMs come before this one in that order. If one region reads for all, its first VM comes before
    /// the VMs of the other regions, too.
    std::size_t readerRank(std::string_view list, bool isReadForAll, TimePoint now) const;
    /// Returns the VMs of a region that are told what another region has read and tell their own. Nothing is known of
    /// whether VMs of other regions live, so that there are two of them.
    std::vector<VmId> relaysOf(std::string_view list, const RegionId &region) const;
    /// Whether no region is nearer to the platform than the own one, as far as its VMs have said.
    bool isNearestToPlatform() const
    {
        return m_nearestRegion.isEmpty() || m_nearestRegion == m_ownPlace.region;
    }
    /// Returns the VM of the own availability zone, this one included, that the others of the zone ask first for what
    /// they lack. Empty if no VM is known.
    VmId headOfZone(TimePoint now) const;
    /// Returns a living VM for each other availability zone of the own region, through which this one tells the VMs
    /// there what it has read. Two VMs that tell the same choose others, as far as there are any: one that has just
    /// died costs a zone one of two messages.
    std::vector<VmRecord> zoneRelays(TimePoint now) const;
    /// Whether the list of VMs was read.
    bool hasList() const
    {
        return m_hasList;
    }
    /// What this VM says of itself.
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
        TimePoint heardAt {};
        VmPresence presence {};
        std::uint64_t hash { 0 }; ///< Of the VM's id.
        std::set<VmId> silenceReporters {}; ///< Since it was heard.
    };

    /// Whether the VM may do something for the others of the region.
    bool isAvailable(const VmId &vm, TimePoint now) const;
    /// The place of a VM in the order of those that tell a region what was read, as far as it doesn't change while the
    /// VM lives: first its processor share, then its rank. What one VM tells a hundred others would fill the link of a
    /// small one for seconds.
    using TellerScore = std::pair<double, std::uint64_t>;
    static TellerScore tellerScore(std::uint64_t key, const Entry &entry);
    /// Returns the available VM with the highest rank for a purpose, weighted by processor share, in each availability
    /// zone of the own region.
    std::map<AvailabilityZoneId, const VmRecord *> highestByZone(std::string_view purpose, TimePoint now) const;
    void findNearestRegion();
    void planHeartbeats();
    /// Returns by how much longer a VM may be silent since this one does not hear each of its heartbeats.
    Milliseconds heartbeatDelay(const VmId &vm) const
    {
        return heartbeatTime(vm) - m_settings.heartbeatInterval;
    }
    /// Returns how long the VM may be silent before it is taken for dead.
    Milliseconds longestSilenceOf(const VmId &vm) const;

    VmId m_own;
    Locality m_ownPlace;
    VmRosterSettings m_settings;
    std::map<VmId, Entry> m_entries;
    bool m_hasList { false };
    RegionId m_nearestRegion;
    HeartbeatPlan m_heartbeats;
    TimePoint m_listedAt {}; ///< When the first list came.
    VmPresence m_ownPresence;
};

} // namespace Sapphire
