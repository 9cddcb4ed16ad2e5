#include <LibConfiguration/CopyOnWriteMap.h>
#include <LibCore/RandomSource.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace Sapphire;

TEST_CASE("CopyOnWriteMap behaves like std::map, and copies are independent")
{
    // Guards against errors at chunk boundaries and against changes that appear in an older copy.
    const std::uint64_t seed = std::random_device {}();
    CAPTURE(seed);
    RandomSource random(seed);
    std::map<int, int> expected;
    CopyOnWriteMap<int, int> map;
    std::map<int, int> expectedCopy;
    CopyOnWriteMap<int, int> copy;
    for (int i = 0; i < 6000; ++i) {
        const int key = static_cast<int>(random.below(1500));
        if (random.below(3) == 0) {
            REQUIRE(map.erase(key) == expected.erase(key));
        } else {
            map[key] = i;
            expected[key] = i;
        }
        if (i == 3000) {
            expectedCopy = expected;
            copy = map;
        }
    }
    CHECK(map.size() == expected.size());
    CHECK(std::equal(map.begin(), map.end(), expected.begin(), expected.end(), [](const auto &left, const auto &right) {
        return left.first == right.first && left.second == right.second;
    }));
    CHECK(std::equal(copy.begin(), copy.end(), expectedCopy.begin(), expectedCopy.end(),
                     [](const auto &left, const auto &right) {
                         return left.first == right.first && left.second == right.second;
                     }));
    for (int key = 0; key < 1500; ++key) {
        REQUIRE(map.contains(key) == expected.contains(key));
    }
}
