#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Sapphire {

/// A range of IPv4 addresses given by a prefix.
struct AddressPrefix
{
    std::uint32_t address { 0 };
    int bits { 0 };

    /// Parses "a.b.c.d/bits" or "a.b.c.d". Returns nothing if malformed or if bits beyond the prefix are set.
    static std::optional<AddressPrefix> parse(std::string_view text);

    friend auto operator<=>(const AddressPrefix &, const AddressPrefix &) = default;
};

/// Finds the region of a client address by longest prefix match in a sorted array.
class ClientBlocks
{
public:
    struct Block
    {
        AddressPrefix prefix;
        RegionId region;
    };

    ClientBlocks() = default;
    explicit ClientBlocks(const std::vector<Block> &blocks);

    /// Returns nothing if no block contains the address.
    std::optional<RegionId> regionOf(std::uint32_t address) const;
    /// Returns the size of the index in bytes.
    std::size_t memoryBytes() const;

private:
    using RegionIndex = std::uint16_t;

    struct Range
    {
        std::uint32_t first;
        RegionIndex region;
    };

    std::vector<RegionId> m_regions;
    /// Disjoint ranges in ascending order; each ends where the next begins.
    std::vector<Range> m_ranges;
};

} // namespace Sapphire
