#include <SapphirePolicies/PolicyReport.h>
#include <SapphirePolicies/PolicySimulation.h>

#include <doctest/doctest.h>

#include <sstream>

using namespace Sapphire;

namespace {

PolicyOutcome simulate(const std::string &name, double load, std::uint64_t seed)
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

const std::string gatewayPolicy = "earliest answer, queueing";

} // namespace

TEST_CASE("PolicySimulation accounts for each request, and a seed gives the same run")
{
    // Guards against a simulation that loses requests or that is not reproducible.
    for (const ComparedPolicy &policy : comparedPolicies()) {
        CAPTURE(policy.name);
        const PolicyOutcome outcome = simulate(policy.name, 1.5, 3);
        CHECK(outcome.requests > 1'000);
        CHECK(outcome.onTime + outcome.late + outcome.refused + outcome.failed == outcome.requests);
        CHECK(simulate(policy.name, 1.5, 3).onTime == outcome.onTime);
    }
}

TEST_CASE("The gateway's placement answers more requests on time than least-loaded and plain object hashing")
{
    // Guards against a change of placement or queueing that loses the gain from cache hits and expected answer times.
    // Slots are scarce at these loads: a request with a cache hit takes 0.3 of the time that the load is based on.
    for (const double load : { 2.5, 3.0 }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(load);
            CAPTURE(seed);
            const double own = simulate(gatewayPolicy, load, seed).onTimeRate();
            CHECK(own > simulate("least loaded", load, seed).onTimeRate());
            CHECK(own > simulate("object hash", load, seed).onTimeRate());
            CHECK(own > simulate("object hash, queueing", load, seed).onTimeRate());
        }
    }
}

TEST_CASE("The gateway's policy refuses requests that it can't answer in time instead of letting them time out")
{
    // Guards against requests that occupy slots and end without an answer.
    const PolicyOutcome own = simulate(gatewayPolicy, 3.0, 1);
    const PolicyOutcome plain = simulate("earliest answer", 3.0, 1);
    CHECK(own.failed * 20 <= own.requests);
    CHECK(own.failed <= plain.failed);
}

TEST_CASE("The plot has a line for each policy")
{
    // Guards against an empty plot.
    std::ostringstream plot;
    writePlot(plot, { { "one", 0.5, {} }, { "one", 1.0, {} }, { "two", 0.5, {} }, { "two", 1.0, {} } });
    const std::string text = plot.str();
    CHECK(text.find("<svg") != std::string::npos);
    CHECK(text.find("crimson") != std::string::npos);
    CHECK(text.find("darkorange") != std::string::npos);
}
