#include <SapphirePolicies/PolicyReport.h>
#include <SapphirePolicies/PolicySimulation.h>

#include <doctest/doctest.h>

#include <sstream>

using namespace Sapphire;

namespace {

PolicyOutcome play(const std::string &name, double load, std::uint64_t seed)
{
    PolicyScenario scenario;
    scenario.load = load;
    scenario.seed = seed;
    for (const ComparedPolicy &policy : comparedPolicies()) {
        if (policy.name == name) {
            return PolicySimulation(scenario, policy).run();
        }
    }
    return {};
}

const std::string product = "earliest answer, queueing";

} // namespace

TEST_CASE("PolicySimulation accounts for each request, and a seed gives the same run")
{
    // Guards against a comparison that loses requests, or that can't be repeated.
    for (const ComparedPolicy &policy : comparedPolicies()) {
        CAPTURE(policy.name);
        const PolicyOutcome outcome = play(policy.name, 1.5, 3);
        CHECK(outcome.asked > 1'000);
        CHECK(outcome.onTime + outcome.late + outcome.refused + outcome.failed == outcome.asked);
        CHECK(play(policy.name, 1.5, 3).onTime == outcome.onTime);
    }
}

TEST_CASE("The product's placing serves more callers on time than least loaded and plain object hashing")
{
    // Guards against a change of placing or queueing that loses what placing by object and expected answer gains.
    // Loads at which slots are short: requests on objects at hand take 0.3 of the work that the load counts.
    for (const double load : { 2.5, 3.0 }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(load);
            CAPTURE(seed);
            const double own = play(product, load, seed).onTimeShare();
            CHECK(own > play("least loaded", load, seed).onTimeShare());
            CHECK(own > play("object hash", load, seed).onTimeShare());
            CHECK(own > play("object hash, queueing", load, seed).onTimeShare());
        }
    }
}

TEST_CASE("The product refuses what it can't serve rather than letting it run into the route's timeout")
{
    // Guards against requests that occupy slots and end without an answer.
    const PolicyOutcome own = play(product, 3.0, 1);
    const PolicyOutcome plain = play("earliest answer", 3.0, 1);
    CHECK(own.failed * 20 <= own.asked);
    CHECK(own.failed <= plain.failed);
}

TEST_CASE("The plot has a line for each policy")
{
    // Guards against an empty picture.
    std::ostringstream plot;
    writePlot(plot, { { "one", 0.5, {} }, { "one", 1.0, {} }, { "two", 0.5, {} }, { "two", 1.0, {} } });
    const std::string text = plot.str();
    CHECK(text.find("<svg") != std::string::npos);
    CHECK(text.find("crimson") != std::string::npos);
    CHECK(text.find("darkorange") != std::string::npos);
}
