#include <LibPlatform/EpochTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

std::optional<std::uint64_t> taken(EpochTracker &tracker, const std::optional<std::string> &text)
{
    const Outcome<SourceEpoch> epoch = capture([&] {
        return tracker.take(text);
    });
    return epoch ? std::optional(epoch.value().value()) : std::nullopt;
}

} // namespace

TEST_CASE("EpochTracker takes epochs that rise, and no epoch from a platform that never told one")
{
    // Guards against a VM that takes nothing from a platform without epochs, or that misses a return from a copy.
    EpochTracker tracker;
    CHECK(taken(tracker, std::nullopt) == 0);
    CHECK(taken(tracker, "4") == 4);
    CHECK(taken(tracker, "4") == 4);
    CHECK(taken(tracker, "7") == 7);
}

TEST_CASE("EpochTracker refuses answers whose epoch is missing, is no number or has fallen")
{
    // Guards against an answer of an earlier epoch, or without one, that replaces what is in force.
    EpochTracker tracker;
    REQUIRE(taken(tracker, "4") == 4);
    for (const char *const text : { "", "x", "4x", "-1", "3", " 4", "99999999999999999999" }) {
        CAPTURE(text);
        CHECK(!taken(tracker, text));
    }
    CHECK(!taken(tracker, std::nullopt));
    CHECK(taken(tracker, "4") == 4);
}
