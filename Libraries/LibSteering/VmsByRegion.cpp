#include <LibSteering/VmsByRegion.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <map>

namespace Sapphire {

VmsByRegion::VmsByRegion(const std::vector<RendezvousCandidate> &vms) : m_vmCount(vms.size())
{
    std::map<RegionId, std::vector<Vm>> regions;
    for (const RendezvousCandidate &vm : vms) {
        regions[vm.region].push_back({ vm, stableHash(vm.vm.text()) });
    }
    for (auto &[id, members] : regions) {
        std::sort(members.begin(), members.end(), [](const Vm &left, const Vm &right) {
            return left.candidate.vm < right.candidate.vm;
        });
        m_regions.push_back({ id, std::move(members) });
    }
}

std::size_t VmsByRegion::vmCount(const RegionId &region) const
{
    const auto found = std::find_if(m_regions.begin(), m_regions.end(), [&region](const Region &candidate) {
        return candidate.id == region;
    });
    return found == m_regions.end() ? 0 : found->vms.size();
}

std::vector<RendezvousCandidate> VmsByRegion::highestRanked(std::uint64_t keyHash, std::size_t size) const
{
    using Ranked = std::pair<std::uint64_t, const Vm *>;
    std::vector<RendezvousCandidate> chosen;
    std::vector<Ranked> ranked;
    for (const Region &region : m_regions) {
        ranked.clear();
        for (const Vm &vm : region.vms) {
            ranked.emplace_back(rendezvousRank(keyHash, vm.hash), &vm);
        }
        const auto count = static_cast<std::ptrdiff_t>(std::min(ranked.size(), size));
        std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(),
                          [](const Ranked &left, const Ranked &right) {
                              return left.first != right.first ? left.first > right.first
                                                               : left.second->candidate.vm < right.second->candidate.vm;
                          });
        for (auto entry = ranked.begin(); entry != ranked.begin() + count; ++entry) {
            chosen.push_back(entry->second->candidate);
        }
    }
    return chosen;
}

bool VmsByRegion::isAmongHighest(const VmId &vm, const RegionId &region, std::uint64_t keyHash, std::size_t size) const
{
    const std::uint64_t rank = rendezvousRank(keyHash, stableHash(vm.text()));
    bool isMember = false;
    std::size_t ahead = 0;
    for (const Region &candidates : m_regions) {
        if (candidates.id != region) {
            continue;
        }
        for (const Vm &candidate : candidates.vms) {
            isMember = isMember || candidate.candidate.vm == vm;
            ahead += rendezvousRank(keyHash, candidate.hash) > rank ? 1 : 0;
        }
    }
    return isMember && ahead < size;
}

} // namespace Sapphire
