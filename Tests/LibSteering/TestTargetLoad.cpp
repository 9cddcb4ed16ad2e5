#include <LibSteering/TargetLoad.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("TargetLoad counts this VM's requests and, with a weight that decays, the reported ones of others")
{
    // Guards against a target that counts as idle while other VMs fill it, or as full long after.
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

TEST_CASE("TargetLoad pauses longer with each request in a row that a target rejects")
{
    // Guards against sending requests to a full target again and again.
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
