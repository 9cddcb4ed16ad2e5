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

TEST_CASE("WorkTimes tells warm from cold by the answers themselves")
{
    // Guards against first touches that make the warm average so long that requests are spread over cold targets.
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

TEST_CASE("WorkTimes learns how often a target has an object at hand")
{
    // Guards against a slow target that is taken for one without the object, and the reverse.
    const Route route = routeWith(Milliseconds(1'500), Milliseconds(4'000));
    for (const double share : { 0.95, 0.7, 0.3 }) {
        CAPTURE(share);
        RandomSource random(11);
        ProcessingTimes times;
        double sum = 0;
        constexpr int answers = 2'000;
        for (int i = 0; i < answers; ++i) {
            const Milliseconds time(random.unit() < share ? 660 : 2'200);
            times.note(route, CacheExpectation::Usual, scaled(time, 0.85 + 0.3 * random.unit()));
            sum += times.hitProbability(route, CacheExpectation::Usual);
        }
        CHECK(sum / answers == doctest::Approx(share).epsilon(0.1));
    }
}

TEST_CASE("WorkTimes ignores answers of targets in trouble")
{
    // Guards against a few slow targets by which all requests of a route look hopeless.
    const Route route = routeWith(Milliseconds(600), Milliseconds(1'500));
    ProcessingTimes times;
    const Microseconds before = times.cold(route);
    for (int i = 0; i < 20; ++i) {
        times.note(route, CacheExpectation::Unlikely, Milliseconds(8'000));
    }
    CHECK(times.cold(route) == before);
}

TEST_CASE("WorkTimes never expects more than half of the timeout before it knows anything")
{
    // Guards against a new route whose requests are all refused for a first estimate.
    const ProcessingTimes times;
    const Route route = routeWith(Milliseconds(1'000), Milliseconds(1'000));
    CHECK(times.cold(route) <= Milliseconds(500));
}
