#include <LibSteering/OutlierEjection.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const TargetId target("t");
constexpr TimePoint start { Milliseconds(1'000'000) };

std::vector<OutlierSample> samples(const std::vector<int> &latencies)
{
    std::vector<OutlierSample> list;
    for (std::size_t i = 0; i < latencies.size(); ++i) {
        list.push_back({ TargetId("t" + std::to_string(i)), Milliseconds(latencies[i]), 0 });
    }
    return list;
}

} // namespace

TEST_CASE("OutlierEjection ejects after failures in a row and readmits by one trial")
{
    // Guards against ejection by single failures, and against several trial requests at once.
    RandomSource random(1);
    OutlierEjection ejection;
    ejection.noteFailure(target, start, random);
    ejection.noteFailure(target, start, random);
    ejection.noteSuccess(target, start);
    ejection.noteFailure(target, start, random);
    CHECK_FALSE(ejection.noteFailure(target, start, random));
    CHECK(ejection.noteFailure(target, start, random));
    CHECK(ejection.isEjected(target));
    CHECK_FALSE(ejection.mayTry(target, start + Milliseconds(500)));
    REQUIRE(ejection.mayTry(target, start + Milliseconds(1'000)));
    ejection.beginTrial(target);
    CHECK_FALSE(ejection.mayTry(target, start + Milliseconds(1'000)));
    CHECK(ejection.noteSuccess(target, start + Milliseconds(1'100)));
    CHECK_FALSE(ejection.isEjected(target));
}

TEST_CASE("OutlierEjection sends trial requests less and less often while they fail")
{
    // Guards against a steady loss of customer requests that are sent as trials to a dead target.
    RandomSource random(2);
    OutlierEjection ejection;
    ejection.eject(target, start, random);
    TimePoint now = start;
    int trials = 0;
    while (now < start + Milliseconds(120'000)) {
        now += Milliseconds(10);
        if (ejection.mayTry(target, now)) {
            ejection.beginTrial(target);
            ejection.noteFailure(target, now, random);
            ++trials;
        }
    }
    CHECK(trials >= 6);
    CHECK(trials <= 10);
}

TEST_CASE("OutlierEjection ejects slow and faulty targets, but no more than half")
{
    // Guards against a region that loses most of its targets because all became slower.
    RandomSource random(3);
    OutlierEjection ejection;
    CHECK(ejection.ejectOutliers(samples({ 10, 12, 29, 35, 11 }), 5, start, random).empty());
    CHECK(ejection.ejectOutliers(samples({ 10, 12, 90, 11, 10 }), 5, start, random)
          == std::vector<TargetId> { TargetId("t2") });
    CHECK(ejection.ejectOutliers(samples({ 10, 500, 0, 10, 10, 600 }), 6, start, random).size() == 2);
    CHECK(ejection.ejectOutliers(samples({ 10, 0, 0, 10, 400, 0 }), 6, start, random).empty());
    std::vector<OutlierSample> faulty = samples({ 10, 10, 10 });
    faulty[1].errorRate = 0.9;
    OutlierEjection fresh;
    CHECK(fresh.ejectOutliers(faulty, 3, start, random) == std::vector<TargetId> { TargetId("t1") });
    for (OutlierSample &sample : faulty) {
        sample.errorRate = 0.9;
    }
    OutlierEjection other;
    CHECK(other.ejectOutliers(faulty, 3, start, random).empty());
}
