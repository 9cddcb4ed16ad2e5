#include <LibCore/Hash.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sapphire;

TEST_CASE("sha256Hex matches the published test vector")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("rendezvousRank spreads keys evenly over candidates")
{
    // Guards against a hash that leaves the high bits of short texts unmixed and so favours some candidates.
    const std::vector<std::string> candidates { "vm-1", "vm-2", "vm-3", "vm-4" };
    std::vector<int> wins(candidates.size());
    for (int key = 0; key < 4000; ++key) {
        std::size_t best = 0;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            if (rendezvousRank(std::to_string(key), candidates[i])
                > rendezvousRank(std::to_string(key), candidates[best])) {
                best = i;
            }
        }
        ++wins[best];
    }
    for (const int count : wins) {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
}
