#pragma once

#include <LibConfiguration/Roster.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Sapphire {

/// Stands for a process, a zone summary or a directory on the wire.
using WireKey = std::uint32_t;

/// Returns the key under which members of a zone and summaries refer to a process.
WireKey wireKeyOf(const VmIncarnation &process);

/// What is known of a VM of the own availability zone.
struct FleetMember
{
    VmIncarnation process;
    VmEndpoints endpoints {};
    bool isLeaving { false };
    bool isFresh { true };
    ConfigurationVersion version {};
    std::set<KeyId> withdrawals {};
    std::uint64_t revision { 0 }; ///< Grows with each change that the VM itself makes to its entry.
    TimePoint heardAt {}; ///< The VM was alive at this moment.
    WireKey key { 0 };
};

/// What the VMs of an availability zone say of it to other zones.
struct ZoneSummary
{
    static constexpr std::size_t unconfirmedLimit = 8;

    struct Unconfirmed
    {
        WireKey key { 0 };
        ConfigurationVersion version {};

        friend bool operator==(const Unconfirmed &, const Unconfirmed &) = default;
    };

    Locality place;
    TimePoint statedAt {};
    ConfigurationVersion lowestVersion {}; ///< Of the VMs that `unconfirmed` doesn't name.
    std::vector<Unconfirmed> unconfirmed {}; ///< VMs with the oldest versions, at most 8.
    std::set<KeyId> withdrawals {}; ///< Known by all VMs of the zone that are not suspect.
    std::vector<WireKey> suspects {};
    std::vector<WireKey> leaving {};
    std::vector<WireKey> stale {};
    std::uint64_t directoryDigest { 0 };

    /// Returns the key of place and content, without the moment.
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

    Locality place;
    std::vector<Vm> vms; ///< Ordered by process.

    std::uint64_t digest() const;
};

/// A VM as far as the choice of peers needs it.
struct PeerCandidate
{
    VmId vm;
    Locality place;
    bool isSuspect { false };
};

struct MembershipSettings
{
    Milliseconds suspicionLimit { 3'000 }; ///< Silence after which a VM of the own zone is suspect.
    /// Age of a zone's summary after which all its VMs are suspect. A summary of another region may be up to 2 s old
    /// when it arrives, since it takes two pulls.
    Milliseconds zoneSilenceLimit { 4'000 };
    /// Time that a listed VM has to be heard of, for the first time, before it is suspect.
    Milliseconds firstContactLimit { 6'000 };
    Milliseconds forgetAfter { 60'000 }; ///< Silence after which a VM that is not listed is forgotten.
};

/// What this VM knows of the fleet: the VMs of the own availability zone each by itself, other zones by summaries,
/// joined with the platform's list. Safe to call from any thread.
class Membership final : public Roster
{
public:
    Membership(VmIncarnation self, Locality place, VmEndpoints endpoints, MembershipSettings settings = {});

    std::vector<RosterVm> vms(TimePoint now) const override;
    std::set<VmId> listedVms() const override;

    const VmIncarnation &self() const
    {
        return m_self;
    }
    const Locality &place() const
    {
        return m_place;
    }

    /// Takes the platform's list, which replaces the one before.
    void takeList(const std::vector<ListedVm> &list, TimePoint now);
    /// Sets what this VM states of itself.
    void updateOwn(ConfigurationVersion version, const std::set<KeyId> &withdrawals);
    void setLeaving(bool isLeaving);
    void setFresh(bool isFresh);
    /// Notes a direct sign of life of a VM of the own zone.
    void heardFrom(const VmIncarnation &process, TimePoint at);
    /// Notes a sign of life that another VM relayed. A key that is not known is ignored.
    void heardFrom(WireKey key, TimePoint at);
    /// Takes an entry of the own zone. Without endpoints it only updates a process that is known by its key.
    void takeMember(const FleetMember &member, TimePoint now);
    /// Returns whether the summary's content was news.
    bool takeSummary(const ZoneSummary &summary);
    /// Takes a newer moment for the summary with this content. Returns the digest of its directory, or nothing if the
    /// summary is not held.
    std::optional<std::uint64_t> refreshSummary(WireKey contentKey, TimePoint statedAt);
    void takeDirectory(const ZoneDirectory &directory);

    /// Calls the visitor for each member of the own zone that is known as a process, this VM included.
    void visitMembers(TimePoint now, const std::function<void(const FleetMember &)> &visitor) const;
    /// Calls the visitor for each summary of another zone.
    void visitSummaries(const std::function<void(const ZoneSummary &, WireKey contentKey)> &visitor) const;
    ZoneSummary ownSummary(TimePoint now) const;
    /// Returns whether the view of the own zone is complete enough to speak for it to other zones: each listed VM of
    /// the zone is known, or there was time to hear of it. A VM that has just started knows only itself.
    bool mayStateSummary(TimePoint now) const;
    ZoneDirectory ownDirectory() const;
    std::uint64_t ownDirectoryDigest() const;
    /// Returns the held directory with the given digest, the own zone's included.
    std::optional<ZoneDirectory> directory(WireKey digestKey) const;
    bool hasDirectory(std::uint64_t digest) const;

    std::vector<PeerCandidate> candidates(TimePoint now) const;
    std::optional<VmEndpoints> endpoints(const VmId &vm) const;
    /// Returns whether a newer process runs under this VM's id.
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

    struct Location
    {
        const Zone *zone;
        std::size_t index;
    };

    void replaceDirectory(Zone &zone, const ZoneDirectory &directory, std::uint64_t digest);
    void forgetDirectory(Zone &zone);
    void noteUnknown(const VmId &vm);
    void noteKnown(const VmId &vm);
    RosterVm rosterVm(const FleetMember &member, TimePoint now) const;
    void addZone(std::map<VmId, RosterVm> &roster, const Zone &zone, TimePoint now) const;
    RosterVm rosterVm(const Listed &listed, TimePoint now) const;
    bool isSilent(const FleetMember &member, TimePoint now) const;
    bool isZoneSilent(const Zone &zone, TimePoint now) const;
    bool isForgotten(const FleetMember &member, TimePoint now) const;
    void forgetSilent(TimePoint now);
    ZoneDirectory ownDirectoryLocked() const;
    void directoryChanged();

    const VmIncarnation m_self;
    const Locality m_place;
    const MembershipSettings m_settings;

    mutable std::mutex m_mutex;
    std::map<VmId, Listed> m_listed;
    std::map<VmId, FleetMember> m_members; ///< Of the own zone.
    std::unordered_map<WireKey, VmId> m_keys; ///< Of m_members.
    std::map<Locality, Zone> m_zones; ///< Other zones.
    std::unordered_map<VmId, Location> m_located; ///< Where the directories of m_zones name a VM.
    std::uint64_t m_ownDigest { 0 };
    std::optional<TimePoint> m_firstListAt;
    std::set<VmId> m_listedOnly; ///< Listed VMs of which no process is known.
    std::set<VmId> m_unheard; ///< Those of them that are in the own zone.
    bool m_isSuperseded { false };
};

} // namespace Sapphire
