#pragma once

#include <LibConfiguration/Roster.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Sapphire {

/// Short hash that identifies a process, a zone summary or a zone directory in messages.
using WireKey = std::uint32_t;

/// Returns the key that identifies a process in member entries and zone summaries.
WireKey wireKeyOf(const VmIncarnation &process);

/// What this VM knows of a VM of its own availability zone.
struct FleetMember
{
    VmIncarnation process;
    VmEndpoints endpoints {};
    bool isLeaving { false };
    bool isFresh { true };
    ConfigurationVersion version {};
    std::set<KeyId> withdrawals {};
    std::uint64_t revision { 0 }; ///< Incremented by the VM itself with each change of its entry.
    TimePoint heardAt {}; ///< Time of the last heartbeat.
    WireKey key { 0 };
};

/// The state of an availability zone's VMs as they publish it to other zones.
struct ZoneSummary
{
    static constexpr std::size_t unconfirmedLimit = 8;

    struct Unconfirmed
    {
        WireKey key { 0 };
        ConfigurationVersion version {};

        friend bool operator==(const Unconfirmed &, const Unconfirmed &) = default;
    };

    Locality locality;
    TimePoint statedAt {};
    ConfigurationVersion lowestVersion {}; ///< Lowest version of the VMs that `unconfirmed` doesn't list.
    std::vector<Unconfirmed> unconfirmed {}; ///< VMs with lower versions, at most 8.
    std::set<KeyId> withdrawals {}; ///< Withdrawn keys that all VMs of the zone know, except suspects.
    std::vector<WireKey> suspects {};
    std::vector<WireKey> leaving {};
    std::vector<WireKey> stale {};
    std::uint64_t directoryDigest { 0 };

    /// Returns the hash of all members but statedAt.
    WireKey contentKey() const;
};

/// The VMs of another availability zone and their endpoints.
struct ZoneDirectory
{
    struct Vm
    {
        VmIncarnation process;
        VmEndpoints endpoints;
    };

    Locality locality;
    std::vector<Vm> vms; ///< Ordered by VM id.

    std::uint64_t digest() const;
};

/// What the selection of peers needs to know of a VM.
struct PeerCandidate
{
    VmId vm;
    Locality locality;
    bool isSuspect { false };
};

struct MembershipSettings
{
    Milliseconds heartbeatTimeout { 3'000 }; ///< Time without heartbeat after which a VM of the own zone is suspect.
    /// Age of a zone's summary after which all its VMs are suspect. A summary of another region may be up to 2 s old
    /// when it arrives, since it takes two pulls.
    Milliseconds summaryTimeout { 4'000 };
    /// A VM of the platform's list that was not heard of for this time since it was first listed is suspect.
    Milliseconds firstContactTimeout { 6'000 };
    Milliseconds forgetAfter { 60'000 }; ///< Time without heartbeat after which a VM that is not listed is removed.
};

/// The membership and liveness of the fleet's VMs, from gossip and the platform's list of VMs. It keeps an entry for
/// each VM of the own availability zone, and a summary and a directory for each other zone. Safe to call from any
/// thread.
class Membership final : public Roster
{
public:
    Membership(VmIncarnation self, Locality locality, VmEndpoints endpoints, MembershipSettings settings = {});

    std::vector<RosterVm> vms(TimePoint now) const override;
    std::set<VmId> listedVms() const override;

    const VmIncarnation &self() const
    {
        return m_self;
    }
    const Locality &locality() const
    {
        return m_locality;
    }

    /// Replaces the platform's list of VMs.
    void takeList(const std::vector<ListedVm> &list, TimePoint now);
    /// Sets the configuration version and the withdrawals in the entry of this VM.
    void updateOwn(ConfigurationVersion version, const std::set<KeyId> &withdrawals);
    void setLeaving(bool isLeaving);
    void setFresh(bool isFresh);
    /// Notes a heartbeat that a VM of the own zone sent itself.
    void noteHeartbeat(const VmIncarnation &process, TimePoint at);
    /// Notes a heartbeat that another VM relayed. Unknown keys are ignored.
    void noteHeartbeat(WireKey key, TimePoint at);
    /// Merges an entry of the own zone. An entry without endpoints only updates a known process.
    void takeMember(const FleetMember &member, TimePoint now);
    /// Merges a summary of another zone. Returns whether its content has changed.
    bool takeSummary(const ZoneSummary &summary);
    /// Updates the time of the summary with this content. Returns the digest of its directory, or nothing if no such
    /// summary is stored.
    std::optional<std::uint64_t> refreshSummary(WireKey contentKey, TimePoint statedAt);
    /// Stores a directory of another zone if none is stored or the zone's summary names it as the current one.
    void takeDirectory(const ZoneDirectory &directory);

    /// Calls the visitor for each VM of the own zone whose process is known, including this VM.
    void visitMembers(TimePoint now, const std::function<void(const FleetMember &)> &visitor) const;
    /// Calls the visitor for each summary of another zone.
    void visitSummaries(const std::function<void(const ZoneSummary &, WireKey contentKey)> &visitor) const;
    ZoneSummary ownSummary(TimePoint now) const;
    /// Returns whether this VM knows enough of its own zone to send its summary to other zones: each listed VM of the
    /// zone is known, or the first contact timeout has passed. A VM that has just started knows only itself.
    bool maySendSummary(TimePoint now) const;
    ZoneDirectory ownDirectory() const;
    std::uint64_t ownDirectoryDigest() const;
    /// Returns the stored directory with the given digest; it may be the own zone's.
    std::optional<ZoneDirectory> directory(WireKey digestKey) const;
    bool hasDirectory(std::uint64_t digest) const;

    std::vector<PeerCandidate> candidates(TimePoint now) const;
    std::optional<VmEndpoints> endpoints(const VmId &vm) const;
    /// Returns whether a newer process with this VM's id was heard of.
    bool isSuperseded() const;

private:
    struct Listed
    {
        ListedVm vm;
        TimePoint firstListedAt;
    };

    struct Zone
    {
        ZoneSummary summary;
        WireKey contentKey { 0 };
        bool hasSummary { false };
        ZoneDirectory directory;
        std::uint64_t directoryDigest { 0 };
    };

    struct DirectoryPosition
    {
        const Zone *zone;
        std::size_t index;
    };

    void replaceDirectory(Zone &zone, const ZoneDirectory &directory, std::uint64_t digest);
    void forgetDirectory(Zone &zone);
    /// Adds a listed VM of which no process is known to m_listedOnly and, if it is in the own zone, to m_unheard.
    void noteUnknown(const VmId &vm);
    void noteKnown(const VmId &vm);
    RosterVm rosterVm(const FleetMember &member, TimePoint now) const;
    void addZone(std::map<VmId, RosterVm> &roster, const Zone &zone, TimePoint now) const;
    RosterVm rosterVm(const Listed &listed, TimePoint now) const;
    bool isSilent(const FleetMember &member, TimePoint now) const;
    bool isZoneSilent(const Zone &zone, TimePoint now) const;
    bool isForgotten(const FleetMember &member, TimePoint now) const;
    /// Removes VMs and zones that are not listed and have been silent for long.
    void forgetSilent(TimePoint now);
    ZoneDirectory ownDirectoryLocked() const;
    void updateDirectoryDigest();

    const VmIncarnation m_self;
    const Locality m_locality;
    const MembershipSettings m_settings;

    mutable std::mutex m_mutex;
    std::map<VmId, Listed> m_listed;
    std::map<VmId, FleetMember> m_members; ///< VMs of the own zone.
    std::unordered_map<WireKey, VmId> m_keys; ///< Wire keys of m_members.
    std::map<Locality, Zone> m_zones; ///< Other zones.
    std::unordered_map<VmId, DirectoryPosition> m_directoryPositions; ///< VMs in the directories of m_zones.
    std::uint64_t m_ownDigest { 0 };
    std::optional<TimePoint> m_firstListAt;
    std::set<VmId> m_listedOnly; ///< Listed VMs whose process is not known.
    std::set<VmId> m_unheard; ///< VMs of m_listedOnly in the own zone.
    bool m_isSuperseded { false };
};

} // namespace Sapphire
