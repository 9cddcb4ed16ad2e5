#include <LibSteering/TargetLoad.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("TargetLoad counts own requests and those of others, less the older their report")
{
    // Guards against a target that is taken for free while other VMs fill it, and for full long after.
    TargetLoad load(9);
    load.noteSent();
    load.noteSent();
    CHECK(load.expected(start) == doctest::Approx(2));
    load.noteEnded();
    load.noteReport({ 8, 1, 9 }, start);
    CHECK(load.inFlight() == 1);
    CHECK(load.expected(start) == doctest::Approx(9));
    CHECK(load.expected(start + Milliseconds(10'000)) == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE("TargetLoad leaves a target alone for longer with each request that it turns away")
{
    // Guards against requests that are sent to a full target again and again.
    TargetLoad load(4);
    load.noteShed(start);
    CHECK(load.isShedding(start + Milliseconds(40)));
    CHECK(!load.isShedding(start + Milliseconds(60)));
    load.noteShed(start);
    CHECK(load.isShedding(start + Milliseconds(60)));
    load.noteReport({ 1, 0, 4 }, start);
    load.noteShed(start);
    CHECK(!load.isShedding(start + Milliseconds(60)));
}
