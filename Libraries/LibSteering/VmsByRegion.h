#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <vector>

namespace Sapphire {

/// A VM that may be chosen by rendezvous hashing.
struct RendezvousCandidate
{
    VmId vm;
    RegionId region;

    friend bool operator==(const RendezvousCandidate &, const RendezvousCandidate &) = default;
};

/// The VMs of each region, prepared for rendezvous hashing: VMs with the same list make the same choice.
class VmsByRegion
{
public:
    VmsByRegion() = default;
    explicit VmsByRegion(const std::vector<RendezvousCandidate> &vms);

    std::size_t vmCount() const
    {
        return m_vmCount;
    }
    std::size_t vmCount(const RegionId &region) const;
    std::size_t regionCount() const
    {
        return m_regions.size();
    }
    bool isEmpty() const
    {
        return m_vmCount == 0;
    }
    /// Returns up to `size` VMs of each region for a key, given by its hash: regions in the order of their names, and
    /// within a region the highest rank first.
    std::vector<RendezvousCandidate> highestRanked(std::uint64_t keyHash, std::size_t size) const;
    /// Returns whether the VM is among the `size` highest ranked VMs of the region for a key, given by its hash.
    bool isAmongHighest(const VmId &vm, const RegionId &region, std::uint64_t keyHash, std::size_t size) const;

    friend bool operator==(const VmsByRegion &, const VmsByRegion &) = default;

private:
    struct Vm
    {
        RendezvousCandidate candidate;
        std::uint64_t hash { 0 }; ///< Of its id.

        friend bool operator==(const Vm &, const Vm &) = default;
    };
    struct Region
    {
        RegionId id;
        std::vector<Vm> vms; ///< In the order of their ids.

        friend bool operator==(const Region &, const Region &) = default;
    };

    std::vector<Region> m_regions; ///< In the order of their names.
    std::size_t m_vmCount { 0 };
};

} // namespace Sapphire
