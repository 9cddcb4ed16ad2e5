#include <LibSteering/ProcessingTimes.h>

#include <LibCore/Duration.h>
#include <LibCore/RandomSource.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

Route routeWith(Milliseconds targetLatency, Milliseconds timeout)
{
    Route route;
    route.id = RouteId("r");
    route.targetLatency = targetLatency;
    route.timeout = timeout;
    return route;
}

} // namespace

TEST_CASE("ProcessingTimes distinguishes warm from cold by the times of the answers")
{
    // Guards against cache misses that raise the warm average so much that requests are spread over cold targets.
    const Route route = routeWith(Milliseconds(600), Milliseconds(1'500));
    ProcessingTimes times;
    for (int i = 0; i < 40; ++i) {
        CHECK(!times.note(route, CacheExpectation::Unlikely, Milliseconds(880)));
        CHECK(times.note(route, CacheExpectation::Recent, Milliseconds(264)));
    }
    CHECK(times.warm(route) < Milliseconds(300));
    CHECK(times.warm(route) > Milliseconds(230));
    CHECK(times.cold(route) > Milliseconds(800));
    CHECK(times.cold(route) < Milliseconds(960));
}

TEST_CASE("ProcessingTimes learns how often a target has an object in its cache")
{
    // Guards against confusing a slow answer with a cache miss, and the reverse.
    const Route route = routeWith(Milliseconds(1'500), Milliseconds(4'000));
    for (const double hitRate : { 0.95, 0.7, 0.3 }) {
        CAPTURE(hitRate);
        RandomSource random(11);
        ProcessingTimes times;
        double sum = 0;
        constexpr int answers = 2'000;
        for (int i = 0; i < answers; ++i) {
            const Milliseconds time(random.unit() < hitRate ? 660 : 2'200);
            times.note(route, CacheExpectation::Usual, scaled(time, 0.85 + 0.3 * random.unit()));
            sum += times.hitProbability(route, CacheExpectation::Usual);
        }
        CHECK(sum / answers == doctest::Approx(hitRate).epsilon(0.1));
    }
}

TEST_CASE("ProcessingTimes ignores answers that take far longer than usual")
{
    // Guards against a few slow targets that make all requests of a route seem unable to be answered in time.
    const Route route = routeWith(Milliseconds(600), Milliseconds(1'500));
    ProcessingTimes times;
    const Microseconds before = times.cold(route);
    for (int i = 0; i < 20; ++i) {
        times.note(route, CacheExpectation::Unlikely, Milliseconds(8'000));
    }
    CHECK(times.cold(route) == before);
}

TEST_CASE("ProcessingTimes expects at most half of the timeout before the first answer")
{
    // Guards against a new route whose requests are all refused because of the initial estimate.
    const ProcessingTimes times;
    const Route route = routeWith(Milliseconds(1'000), Milliseconds(1'000));
    CHECK(times.cold(route) <= Milliseconds(500));
}
