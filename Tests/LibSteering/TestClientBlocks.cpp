#include <LibCore/RandomSource.h>
#include <LibSteering/ClientBlocks.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Sapphire;

TEST_CASE("AddressPrefix rejects malformed prefixes")
{
    CHECK(AddressPrefix::parse("10.0.0.0/8").has_value());
    CHECK(AddressPrefix::parse("10.1.2.3")->bits == 32);
    for (const char *text :
         { "", "10", "10.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.1/8", "256.0.0.0/8", "10.0.0.0/8x", "a.b.c.d/8" }) {
        CAPTURE(text);
        CHECK_FALSE(AddressPrefix::parse(text).has_value());
    }
}

TEST_CASE("ClientBlocks finds the longest prefix as a linear search does")
{
    // Guards against errors where blocks enclose or touch each other, or end at the last address.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RandomSource random(seed);
        std::vector<ClientBlocks::Block> blocks;
        for (int i = 0; i < 30; ++i) {
            const int bits = static_cast<int>(random.below(9));
            const std::uint32_t top = static_cast<std::uint32_t>(random.below(256)) << 24U;
            const std::uint32_t mask = bits == 0 ? 0 : ~std::uint32_t { 0 } << static_cast<unsigned>(32 - bits);
            const AddressPrefix prefix { top & mask, bits };
            const bool isKnown = std::any_of(blocks.begin(), blocks.end(), [&](const ClientBlocks::Block &block) {
                return block.prefix == prefix;
            });
            if (!isKnown) {
                blocks.push_back({ prefix, RegionId("r" + std::to_string(random.below(3))) });
            }
        }
        const ClientBlocks index(blocks);
        for (std::uint32_t octet = 0; octet < 256; ++octet) {
            const std::uint32_t address = (octet << 24U) | 0xffffffU;
            const ClientBlocks::Block *best = nullptr;
            for (const ClientBlocks::Block &block : blocks) {
                const std::uint32_t mask =
                    block.prefix.bits == 0 ? 0 : ~std::uint32_t { 0 } << static_cast<unsigned>(32 - block.prefix.bits);
                if ((address & mask) == block.prefix.address
                    && (best == nullptr || block.prefix.bits > best->prefix.bits)) {
                    best = &block;
                }
            }
            const std::optional<RegionId> found = index.regionOf(address);
            CHECK(found.has_value() == (best != nullptr));
            if (best != nullptr && found) {
                CHECK(*found == best->region);
            }
        }
    }
}
