#include <Soak/SoakFault.h>

#include <doctest/doctest.h>

#include <set>

using namespace Sapphire;

TEST_CASE("drawFaults repeats the faults of a seed, and overlaps them except within a scope on the same victim")
{
    // Guards against a failing seed that cannot be reproduced, and against a fault that is ended early by the end of
    // another one of its scope on the same victim.
    constexpr Milliseconds duration { 600'000 };
    const std::vector<SoakFault> faults = drawFaults(5, duration, {});
    const std::vector<SoakFault> again = drawFaults(5, duration, {});
    REQUIRE(faults.size() == again.size());
    std::set<SoakFaultKind> kinds;
    bool hasOverlap = false;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        CHECK(faults[i].from == again[i].from);
        CHECK(faults[i].victim == again[i].victim);
        CHECK(faults[i].to <= duration);
        kinds.insert(faults[i].kind);
        for (std::size_t j = 0; j < i; ++j) {
            const bool overlaps = faults[i].from <= faults[j].to;
            const bool isSame =
                typeOf(faults[i].kind).scope == typeOf(faults[j].kind).scope && faults[i].victim == faults[j].victim;
            hasOverlap = hasOverlap || overlaps;
            CHECK_FALSE((overlaps && isSame));
        }
    }
    CHECK(kinds.size() == soakFaultTypes().size());
    CHECK(hasOverlap);
}
