#include <LibEntry/OperatorStateGuard.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
// Longer than evacuations are kept.
constexpr Milliseconds longTime { 60'000 };
const AvailabilityZoneId zone("cuyo-a");
const AvailabilityZoneId otherZone("pampa-a");

OperatorState stateOf(std::uint64_t epoch, std::uint64_t configuration, std::set<AvailabilityZoneId> zones)
{
    OperatorState state;
    ServingRules::Content content;
    content.version = ConfigurationVersion(configuration);
    state.rules = makeRefCounted<ServingRules>(std::move(content));
    state.evacuatedZones = std::move(zones);
    state.revision = { SourceEpoch(epoch), 1 };
    return state;
}

} // namespace

TEST_CASE("OperatorStateGuard keeps an evacuation that the platform has lost for a limited time")
{
    // Guards against requests to an evacuated zone after the platform has come back from a copy without the evacuation.
    OperatorStateGuard guard;
    guard.take(stateOf(1, 1, { zone }), start);
    const OperatorState copy = stateOf(2, 1, { otherZone });
    CHECK(guard.take(copy, start).evacuatedZones == std::set { zone, otherZone });
    CHECK(!guard.mustRelease(start + Milliseconds(1)));
    REQUIRE(guard.mustRelease(start + longTime));
    CHECK(guard.take(copy, start + longTime).evacuatedZones == std::set { otherZone });
    CHECK(!guard.mustRelease(start + longTime));
}

TEST_CASE("OperatorStateGuard ends a kept evacuation that was written again and then taken back")
{
    // Guards against a zone that stays evacuated although the operators have taken it back.
    OperatorStateGuard guard;
    guard.take(stateOf(1, 1, { zone }), start);
    guard.take(stateOf(2, 1, {}), start);
    guard.take(stateOf(2, 1, { zone }), start);
    CHECK(guard.take(stateOf(2, 1, {}), start).evacuatedZones.empty());
    // Within an epoch the platform loses nothing.
    guard.take(stateOf(2, 1, { otherZone }), start);
    CHECK(guard.take(stateOf(2, 1, {}), start).evacuatedZones.empty());
}

TEST_CASE("OperatorStateGuard keeps an evacuation through two returns of the platform")
{
    // Guards against an evacuation that is forgotten since the platform comes back from a copy twice.
    OperatorStateGuard guard;
    guard.take(stateOf(1, 1, { zone }), start);
    guard.take(stateOf(2, 1, {}), start);
    CHECK(guard.take(stateOf(3, 1, {}), start).evacuatedZones == std::set { zone });
}

TEST_CASE("OperatorStateGuard tells that the platform's configuration is older than one before")
{
    // Guards against final refusals by rules that the operators are about to write again.
    OperatorStateGuard guard;
    guard.take(stateOf(1, 7, {}), start);
    CHECK(!guard.isAwaitingRewrite(start));
    guard.take(stateOf(2, 5, {}), start);
    CHECK(guard.isAwaitingRewrite(start));
    CHECK(!guard.isAwaitingRewrite(start + longTime));
    guard.take(stateOf(2, 7, {}), start);
    CHECK(!guard.isAwaitingRewrite(start));
}
