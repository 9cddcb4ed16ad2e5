#pragma once

#include <LibFleet/Membership.h>

#include <vector>

namespace Sapphire {

struct PeerSelectionSettings
{
    /// Every so many rounds a suspect is pulled from in addition, so that the end of a network partition is noticed.
    std::uint64_t suspectRetryRounds { 5 };
};

/// Chooses the peers, that is, the VMs that this VM pulls from: up to three on the ring of the own zone, one in each
/// other zone of the region and one in each other region. Their number doesn't grow with the number of VMs. The choice
/// depends on the arguments only.
class PeerSelection
{
public:
    PeerSelection(VmId self, Locality locality, PeerSelectionSettings settings = {});

    /// Suspects are left out of the rings. If all VMs of another zone or region are suspect, they are tried in turn.
    std::vector<PeerCandidate> peers(const std::vector<PeerCandidate> &candidates, std::uint64_t round) const;

    /// Returns the distances from a VM to its peers on a ring of the given size: 1, 2 and 4 on small rings, 1, 8 and 11
    /// on larger ones. An update then reaches all VMs of a ring of up to 49 in three exchanges. With 1, 2 and 4 a ring
    /// of 37 VMs takes five, so that heartbeats arrive when they are older than the heartbeat timeout.
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
    Locality m_locality;
    PeerSelectionSettings m_settings;
};

} // namespace Sapphire
