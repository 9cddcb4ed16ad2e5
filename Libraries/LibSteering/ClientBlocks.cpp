#include <LibSteering/ClientBlocks.h>

#include <LibCore/Ipv4Endpoint.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Sapphire {

namespace {

constexpr int addressBits = 32;
constexpr std::uint16_t noRegion = std::numeric_limits<std::uint16_t>::max();

/// Reads a number up to the limit from the front of the text and removes it.
std::optional<std::uint32_t> takeNumber(std::string_view &text, std::uint32_t limit)
{
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || number > limit) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

std::uint32_t maskOf(int bits)
{
    return bits == 0 ? 0 : ~std::uint32_t { 0 } << static_cast<unsigned>(addressBits - bits);
}

std::uint64_t endOf(const AddressPrefix &prefix)
{
    return std::uint64_t { prefix.address } + (std::uint64_t { 1 } << static_cast<unsigned>(addressBits - prefix.bits));
}

} // namespace

std::optional<AddressPrefix> AddressPrefix::parse(std::string_view text)
{
    AddressPrefix prefix;
    const std::optional<Ipv4Address> address = takeIpv4Address(text);
    if (!address) {
        return std::nullopt;
    }
    prefix.address = address->value();
    prefix.bits = addressBits;
    if (!text.empty()) {
        if (text.front() != '/') {
            return std::nullopt;
        }
        text.remove_prefix(1);
        const std::optional<std::uint32_t> bits = takeNumber(text, addressBits);
        if (!bits || !text.empty()) {
            return std::nullopt;
        }
        prefix.bits = static_cast<int>(*bits);
    }
    if ((prefix.address & ~maskOf(prefix.bits)) != 0) {
        return std::nullopt;
    }
    return prefix;
}

ClientBlocks::ClientBlocks(const std::vector<Block> &blocks)
{
    std::vector<Block> sorted = blocks;
    // Shorter prefixes come first at the same address, so that a block follows those that enclose it.
    std::sort(sorted.begin(), sorted.end(), [](const Block &left, const Block &right) {
        return left.prefix < right.prefix;
    });

    struct Enclosing
    {
        std::uint64_t end;
        RegionIndex region;
    };
    std::vector<Enclosing> open;
    const auto startRange = [this](std::uint64_t first, RegionIndex region) {
        if (first > std::numeric_limits<std::uint32_t>::max()) {
            return;
        }
        if (!m_ranges.empty() && m_ranges.back().first == first) {
            m_ranges.back().region = region;
        } else if (m_ranges.empty() || m_ranges.back().region != region) {
            m_ranges.push_back({ static_cast<std::uint32_t>(first), region });
        }
    };
    const auto closeUntil = [&](std::uint64_t address) {
        while (!open.empty() && open.back().end <= address) {
            const std::uint64_t end = open.back().end;
            open.pop_back();
            startRange(end, open.empty() ? noRegion : open.back().region);
        }
    };
    for (const Block &block : sorted) {
        closeUntil(block.prefix.address);
        const auto known = std::find(m_regions.begin(), m_regions.end(), block.region);
        const auto region = static_cast<RegionIndex>(known - m_regions.begin());
        if (known == m_regions.end()) {
            m_regions.push_back(block.region);
        }
        startRange(block.prefix.address, region);
        open.push_back({ endOf(block.prefix), region });
    }
    closeUntil(std::numeric_limits<std::uint64_t>::max());
    m_ranges.shrink_to_fit();
}

std::optional<RegionId> ClientBlocks::regionOf(std::uint32_t address) const
{
    const auto after =
        std::upper_bound(m_ranges.begin(), m_ranges.end(), address, [](std::uint32_t wanted, const Range &range) {
            return wanted < range.first;
        });
    if (after == m_ranges.begin()) {
        return std::nullopt;
    }
    const RegionIndex region = std::prev(after)->region;
    if (region == noRegion) {
        return std::nullopt;
    }
    return m_regions[region];
}

std::size_t ClientBlocks::memoryBytes() const
{
    return m_ranges.capacity() * sizeof(Range);
}

} // namespace Sapphire
