#include <LibSteering/TargetQuality.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

} // namespace

TEST_CASE("TargetQuality detects a slow target and its recovery")
{
    // Guards against a slow target that keeps its share of the requests, and one that never gets requests again.
    TargetQuality quality;
    for (int i = 0; i < 10; ++i) {
        quality.noteAnswer(Milliseconds(600), Milliseconds(150), start);
    }
    CHECK(quality.slowness(start) > 3);
    for (int i = 0; i < 30; ++i) {
        quality.noteAnswer(Milliseconds(150), Milliseconds(150), start);
    }
    CHECK(quality.slowness(start) == doctest::Approx(1).epsilon(0.1));
    quality.noteTimeout(Milliseconds(1'500), Milliseconds(150), start);
    CHECK(quality.slowness(start) > 3);
    CHECK(quality.failureRate(start) > 0);
}

TEST_CASE("TargetQuality decays for a target that gets no more requests")
{
    // Guards against a target that was slow or failed for some seconds and is avoided for ever, since it gets no
    // request that would show its recovery.
    TargetQuality quality;
    for (int i = 0; i < 10; ++i) {
        quality.noteAnswer(Milliseconds(600), Milliseconds(150), start);
        quality.noteFailure(start);
    }
    const double slowness = quality.slowness(start);
    const double failures = quality.failureRate(start);
    CHECK(quality.slowness(start + Milliseconds(2'000)) > 1 + (slowness - 1) / 2);
    CHECK(quality.slowness(start + Milliseconds(12'000)) < 1 + (slowness - 1) / 4);
    CHECK(quality.failureRate(start + Milliseconds(12'000)) < failures / 4);
    // A new request shows that it is still slow.
    quality.noteTimeout(Milliseconds(1'500), Milliseconds(150), start + Milliseconds(12'000));
    CHECK(quality.slowness(start + Milliseconds(12'000)) > 3);
}
