#include <LibCore/RandomSource.h>
#include <LibFleet/PeerSelection.h>

#include <doctest/doctest.h>

#include <map>

using namespace Sapphire;

namespace {

std::vector<PeerCandidate> fleet(std::size_t count, std::size_t regions, std::size_t zones)
{
    std::vector<PeerCandidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string region = std::to_string(i % regions);
        const Locality locality { RegionId(region),
                                  AvailabilityZoneId(region + "-" + std::to_string(i / regions % zones)) };
        candidates.push_back({ VmId("vm-" + std::to_string(i)), locality, false });
    }
    return candidates;
}

/// Returns the longest distance from the first VM on a ring whose edges are used in both directions, in exchanges.
std::size_t exchangesAcross(std::size_t ringSize)
{
    std::vector<std::size_t> distance(ringSize, ringSize);
    std::vector<std::size_t> reached { 0 };
    distance[0] = 0;
    for (std::size_t next = 0; next < reached.size(); ++next) {
        for (const std::size_t step : PeerSelection::ringSteps(ringSize)) {
            for (const std::size_t position :
                 { (reached[next] + step) % ringSize, (reached[next] + ringSize - step) % ringSize }) {
                if (distance[position] == ringSize) {
                    distance[position] = distance[reached[next]] + 1;
                    reached.push_back(position);
                }
            }
        }
    }
    return reached.size() == ringSize ? distance[reached.back()] : ringSize;
}

} // namespace

TEST_CASE("an update reaches all VMs of a zone's ring in three exchanges")
{
    // Guards against ring distances with which heartbeats arrive when they are older than the heartbeat timeout.
    for (std::size_t ringSize = 2; ringSize <= 49; ++ringSize) {
        INFO("ring of " << ringSize);
        CHECK(exchangesAcross(ringSize) <= 3);
    }
    CHECK(PeerSelection::ringSteps(7) == std::vector<std::size_t> { 1, 2, 4 });
    CHECK(PeerSelection::ringSteps(1).empty());
}

TEST_CASE("the number of peers does not grow with the fleet and the load is even")
{
    // Guards against all-to-all exchange and against VMs that all others pull from. Scale/ counts the calls of 730 VMs.
    const std::vector<PeerCandidate> candidates = fleet(240, 5, 4);
    std::map<VmId, int> pulls;
    for (const PeerCandidate &self : candidates) {
        const auto peers = PeerSelection(self.vm, self.locality).peers(candidates, 0);
        CHECK(peers.size() == 10);
        for (const PeerCandidate &peer : peers) {
            CHECK(peer.vm != self.vm);
            ++pulls[peer.vm];
        }
    }
    for (const auto &pull : pulls) {
        INFO(pull.first);
        CHECK(pull.second <= 14);
    }
}

TEST_CASE("suspects are left out of the rings but tried from time to time")
{
    // Guards against rings that a dead VM interrupts, and against partitions whose end is not noticed.
    const std::uint64_t seed = 7;
    INFO("seed " << seed);
    RandomSource random(seed);
    std::vector<PeerCandidate> candidates = fleet(20, 3, 2);
    for (PeerCandidate &candidate : candidates) {
        candidate.isSuspect = candidate.vm != VmId("vm-0") && random.below(3) == 0;
    }
    const PeerSelection selection(VmId("vm-0"), candidates[0].locality);
    std::set<VmId> triedSuspects;
    std::size_t suspectCount = 0;
    for (const PeerCandidate &candidate : candidates) {
        suspectCount += candidate.isSuspect ? 1U : 0U;
    }
    for (std::uint64_t round = 0; round < 200; ++round) {
        std::size_t suspects = 0;
        for (const PeerCandidate &peer : selection.peers(candidates, round)) {
            suspects += peer.isSuspect ? 1U : 0U;
            if (peer.isSuspect) {
                triedSuspects.insert(peer.vm);
            }
        }
        CHECK(suspects <= 1);
    }
    CHECK(triedSuspects.size() == suspectCount);
}

TEST_CASE("a region of which all VMs are suspect is still tried, each VM in turn")
{
    // Guards against a partitioned region that is never tried again.
    std::vector<PeerCandidate> candidates = fleet(12, 3, 2);
    std::set<VmId> tried;
    for (PeerCandidate &candidate : candidates) {
        candidate.isSuspect = candidate.locality.region == RegionId("1");
    }
    const PeerSelection selection(VmId("vm-0"), candidates[0].locality);
    for (std::uint64_t round = 0; round < 4; ++round) {
        for (const PeerCandidate &peer : selection.peers(candidates, round)) {
            if (peer.locality.region == RegionId("1")) {
                tried.insert(peer.vm);
            }
        }
    }
    CHECK(tried.size() == 4);
}

TEST_CASE("a VM that knows no other VM has no peers")
{
    // Guards against a division by zero for an empty ring, when the first VM of a fleet starts.
    const PeerSelection selection(VmId("vm-0"), { RegionId("0"), AvailabilityZoneId("0-0") });
    CHECK(selection.peers({}, 0).empty());
    CHECK(selection.peers({ { VmId("vm-0"), { RegionId("0"), AvailabilityZoneId("0-0") }, true } }, 0).empty());
}
