#include <Soak/SoakFault.h>

#include <doctest/doctest.h>

#include <set>

using namespace Sapphire;

TEST_CASE("The faults of a seed are the same each time, overlap, and leave each victim its own")
{
    // Guards against a failing seed that cannot be played again, and against a victim whose fault is ended early by
    // another of its scope.
    constexpr Milliseconds duration { 600'000 };
    const std::vector<SoakFault> faults = drawFaults(5, duration, {});
    const std::vector<SoakFault> again = drawFaults(5, duration, {});
    REQUIRE(faults.size() == again.size());
    std::set<SoakFaultKind> kinds;
    bool doOverlap = false;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        CHECK(faults[i].from == again[i].from);
        CHECK(faults[i].victim == again[i].victim);
        CHECK(faults[i].to <= duration);
        kinds.insert(faults[i].kind);
        for (std::size_t j = 0; j < i; ++j) {
            const bool doMeet = faults[i].from <= faults[j].to;
            const bool isSame =
                typeOf(faults[i].kind).scope == typeOf(faults[j].kind).scope && faults[i].victim == faults[j].victim;
            doOverlap = doOverlap || doMeet;
            CHECK_FALSE((doMeet && isSame));
        }
    }
    CHECK(kinds.size() == soakFaultTypes().size());
    CHECK(doOverlap);
}
