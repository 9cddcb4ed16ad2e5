#include <LibSteering/Placement.h>

#include <doctest/doctest.h>

#include <vector>

using namespace Sapphire;

namespace {

constexpr Milliseconds warm { 150 };
constexpr Milliseconds cold { 500 };

PlacementOption option(std::uint64_t rank, double load, Milliseconds work)
{
    PlacementOption result;
    result.rank = rank;
    result.load = load;
    result.slots = 4;
    result.work = work;
    result.meanWork = warm;
    return result;
}

std::size_t chosen(const std::vector<PlacementOption> &options)
{
    const std::optional<PlacementChoice> choice = EarliestAnswerPlacement().choose(options);
    REQUIRE(choice);
    return choice->position;
}

} // namespace

TEST_CASE("EarliestAnswerPlacement lets a request wait at the target that has its object")
{
    // Guards against processing of objects that are not cached, which keeps slots busy several times as long.
    CHECK(chosen({ option(1, 6, warm), option(0, 0, cold) }) == 0);
    // The wait at the preferred target takes longer than the same processing in a free slot.
    CHECK(chosen({ option(1, 11, warm), option(0, 0, warm) }) == 1);
}

TEST_CASE("EarliestAnswerPlacement sends nothing to targets that are full")
{
    // Guards against requests that a target refuses.
    PlacementOption shedding = option(2, 0, warm);
    shedding.isShedding = true;
    CHECK(!EarliestAnswerPlacement().choose(std::vector { shedding, option(1, 12, warm) }));
    CHECK(chosen({ shedding, option(1, 11, warm) }) == 1);
}

TEST_CASE("EarliestAnswerPlacement avoids targets that fail")
{
    // Guards against a target that passes its health check and fails some of its requests.
    PlacementOption failing = option(2, 0, warm);
    failing.failureRate = 0.5;
    CHECK(chosen({ failing, option(1, 4, warm) }) == 1);
}

TEST_CASE("EarliestAnswerPlacement chooses the preferred target among equals")
{
    // Guards against an object that is spread over targets without need.
    CHECK(chosen({ option(1, 0, warm), option(3, 0, warm), option(2, 0, warm) }) == 1);
}

TEST_CASE("The price of a slot grows as free slots become rare")
{
    // Guards against spending the last free slots on avoidable processing.
    const std::vector<PlacementOption> idle { option(1, 0, warm), option(2, 0, warm) };
    const std::vector<PlacementOption> busy { option(1, 9, warm), option(2, 3, warm) };
    CHECK(EarliestAnswerPlacement::slotPrice(idle) < EarliestAnswerPlacement::slotPrice(busy));
}
