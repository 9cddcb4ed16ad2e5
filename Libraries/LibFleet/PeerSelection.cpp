#include <LibFleet/PeerSelection.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <array>

namespace Sapphire {

namespace {

using Ring = std::vector<const PeerCandidate *>;

Ring sortedByHash(Ring ring)
{
    std::vector<std::pair<std::uint64_t, const PeerCandidate *>> ranked;
    ranked.reserve(ring.size());
    for (const PeerCandidate *candidate : ring) {
        ranked.emplace_back(stableHash(candidate->vm.text()), candidate);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->vm) < std::tie(right.first, right.second->vm);
    });
    std::transform(ranked.begin(), ranked.end(), ring.begin(), [](const auto &item) {
        return item.second;
    });
    return ring;
}

Ring withoutSuspects(const Ring &ring)
{
    Ring alive;
    std::copy_if(ring.begin(), ring.end(), std::back_inserter(alive), [](const PeerCandidate *candidate) {
        return !candidate->isSuspect;
    });
    return alive;
}

void addOnce(std::vector<PeerCandidate> &peers, const PeerCandidate &peer)
{
    const bool isChosen = std::any_of(peers.begin(), peers.end(), [&](const PeerCandidate &chosen) {
        return chosen.vm == peer.vm;
    });
    if (!isChosen) {
        peers.push_back(peer);
    }
}

} // namespace

PeerSelection::PeerSelection(VmId self, Locality locality, PeerSelectionSettings settings)
    : m_self(std::move(self)), m_locality(std::move(locality)), m_settings(settings)
{
}

std::vector<std::size_t> PeerSelection::ringSteps(std::size_t ringSize)
{
    // Found by an exhaustive search over pairs of distances besides 1: these suit the longest range of ring sizes.
    constexpr std::size_t largestSmallRing = 16;
    constexpr std::array<std::size_t, 3> smallRingSteps { 1, 2, 4 };
    constexpr std::array<std::size_t, 3> largeRingSteps { 1, 8, 11 };
    std::vector<std::size_t> steps;
    for (const std::size_t step : ringSize <= largestSmallRing ? smallRingSteps : largeRingSteps) {
        if (ringSize > 1 && step % ringSize != 0) {
            steps.push_back(step % ringSize);
        }
    }
    return steps;
}

std::vector<PeerCandidate> PeerSelection::peers(const std::vector<PeerCandidate> &candidates, std::uint64_t round) const
{
    std::map<AvailabilityZoneId, Ring> zones;
    std::map<RegionId, Ring> regions;
    const RegionId *lastRegion = nullptr;
    Ring *lastRing = nullptr;
    for (const PeerCandidate &candidate : candidates) {
        if (candidate.locality.region != m_locality.region) {
            // Candidates mostly come ordered by locality, so caching the last region saves most look-ups.
            if (lastRegion == nullptr || *lastRegion != candidate.locality.region) {
                lastRegion = &candidate.locality.region;
                lastRing = &regions[candidate.locality.region];
            }
            lastRing->push_back(&candidate);
            continue;
        }
        zones[candidate.locality.availabilityZone].push_back(&candidate);
        regions[m_locality.region].push_back(&candidate);
    }
    const PeerCandidate self { m_self, m_locality, false };
    for (Ring *ring : { &zones[m_locality.availabilityZone], &regions[m_locality.region] }) {
        const bool isMissing = std::none_of(ring->begin(), ring->end(), [&](const PeerCandidate *candidate) {
            return candidate->vm == m_self;
        });
        if (isMissing) {
            ring->push_back(&self);
        }
    }

    std::vector<PeerCandidate> chosen;
    const Ring ownZone = sortedByHash(zones.at(m_locality.availabilityZone));
    addRingPeers(chosen, ownZone);
    for (const auto &[zone, ring] : zones) {
        if (zone != m_locality.availabilityZone) {
            addOnePeer(chosen, sortedByHash(ring), positionIn(ownZone), ownZone.size(), round);
        }
    }
    const Ring ownRegion = sortedByHash(regions.at(m_locality.region));
    for (const auto &[region, ring] : regions) {
        if (region != m_locality.region) {
            addOnePeer(chosen, sortedByHash(ring), positionIn(ownRegion), ownRegion.size(), round);
        }
    }
    if ((round + stableHash(m_self.text())) % m_settings.suspectRetryRounds == 0) {
        addSuspect(chosen, candidates, round);
    }
    return chosen;
}

std::size_t PeerSelection::positionIn(const Ring &ring) const
{
    const auto self = std::find_if(ring.begin(), ring.end(), [&](const PeerCandidate *candidate) {
        return candidate->vm == m_self;
    });
    return static_cast<std::size_t>(self - ring.begin());
}

void PeerSelection::addRingPeers(std::vector<PeerCandidate> &peers, const Ring &own) const
{
    Ring ring;
    std::copy_if(own.begin(), own.end(), std::back_inserter(ring), [&](const PeerCandidate *candidate) {
        return !candidate->isSuspect || candidate->vm == m_self;
    });
    const std::size_t position = positionIn(ring);
    for (const std::size_t step : ringSteps(ring.size())) {
        addOnce(peers, *ring[(position + step) % ring.size()]);
    }
}

void PeerSelection::addOnePeer(std::vector<PeerCandidate> &peers, const Ring &group, std::size_t position,
                               std::size_t ownSize, std::uint64_t round) const
{
    const Ring alive = withoutSuspects(group);
    // Positions are scaled to the size of the group, so that each of its VMs is pulled from by about as many others.
    const std::size_t index =
        position * (alive.empty() ? group.size() : alive.size()) / std::max<std::size_t>(ownSize, 1);
    if (!alive.empty()) {
        addOnce(peers, *alive[index % alive.size()]);
    } else if (!group.empty()) {
        addOnce(peers, *group[(index + round) % group.size()]);
    }
}

void PeerSelection::addSuspect(std::vector<PeerCandidate> &peers, const std::vector<PeerCandidate> &candidates,
                               std::uint64_t round) const
{
    Ring suspects;
    for (const PeerCandidate &candidate : candidates) {
        if (candidate.isSuspect && candidate.vm != m_self) {
            suspects.push_back(&candidate);
        }
    }
    if (suspects.empty()) {
        return;
    }
    const std::uint64_t turn = round / m_settings.suspectRetryRounds + stableHash(m_self.text());
    addOnce(peers, *sortedByHash(suspects)[turn % suspects.size()]);
}

} // namespace Sapphire
