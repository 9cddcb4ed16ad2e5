#pragma once

#include <LibFleet/Membership.h>

#include <vector>

namespace Sapphire {

struct PeerSelectionSettings
{
    /// Every so many rounds a suspect is pulled from in addition, so that a healed cut is found.
    std::uint64_t suspectRetryRounds { 5 };
};

/// Chooses the VMs that this VM pulls from. Their number is constant for each zone and region: VMs of the own zone's
/// ring, one VM in each other zone of the region and one in each other region. A pure function of its arguments.
class PeerSelection
{
public:
    PeerSelection(VmId self, Locality place, PeerSelectionSettings settings = {});

    /// Rings close over suspects. Where all VMs of a zone or region are suspect, they are tried in turn.
    std::vector<PeerCandidate> peers(const std::vector<PeerCandidate> &candidates, std::uint64_t round) const;

    /// Returns the distances on a ring of the given size: 1, 2 and 4 on small rings, 1, 8 and 11 above. News then
    /// cross a ring of up to 49 VMs in three exchanges. With 1, 2 and 4 a ring of 37 VMs takes five, and a sign of
    /// life arrives older than the suspicion limit.
    static std::vector<std::size_t> ringSteps(std::size_t ringSize);

private:
    using Ring = std::vector<const PeerCandidate *>;

    std::size_t positionIn(const Ring &ring) const;
    void addRingPeers(std::vector<PeerCandidate> &peers, const Ring &own) const;
    void addOnePeer(std::vector<PeerCandidate> &peers, const Ring &group, std::size_t position, std::size_t ownSize,
                    std::uint64_t round) const;
    void addSuspect(std::vector<PeerCandidate> &peers, const std::vector<PeerCandidate> &candidates,
                    std::uint64_t round) const;

    VmId m_self;
    Locality m_place;
    PeerSelectionSettings m_settings;
};

} // namespace Sapphire
