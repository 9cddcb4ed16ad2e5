#include "LimitSimulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Sapphire;
using namespace Sapphire::LimitTest;

namespace {

// Allows for rounding errors in sums of fractional tokens.
constexpr double tolerance = 1e-6;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int sanitizerSlowdown = 60;
#else
constexpr int sanitizerSlowdown = 1;
#endif

/// Returns how many seeds to run. SAPPHIRE_LIMIT_SEEDS overrides the number for a longer search.
int seedCount(int usual)
{
    const char *text = std::getenv("SAPPHIRE_LIMIT_SEEDS");
    return text == nullptr ? std::max(1, usual / sanitizerSlowdown) : std::atoi(text);
}

LimitSettings simulationSettings(LimitPolicy policy)
{
    LimitSettings settings;
    settings.policy = policy;
    settings.allotment.leastInterval = Milliseconds(3'000);
    return settings;
}

struct Totals
{
    std::map<CustomerId, CustomerResult> customers;
    int writes { 0 };

    double refusedPercent(const char *customer) const
    {
        const CustomerResult &result = customers.at(CustomerId(customer));
        return 100.0 * result.refused / std::max(1, result.requests);
    }
};

void runSeeds(Totals &totals, int seeds, LimitPolicy policy, const Faults &faults, Milliseconds length)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        LimitSimulation simulation(static_cast<std::uint64_t>(seed), simulationSettings(policy), faults);
        simulation.run(length, length / 5);
        for (const auto &[customer, result] : simulation.results) {
            CustomerResult &total = totals.customers[customer];
            total.requests += result.requests;
            total.admitted += result.admitted;
            total.refused += result.refused;
            total.loanCalls += result.loanCalls;
            total.worstExcess = std::max(total.worstExcess, result.worstExcess);
            if (policy == LimitPolicy::Shares) {
                const std::string name = customer.text();
                INFO("seed ", seed, ", customer ", name);
                CHECK(result.worstExcess <= tolerance);
                CHECK(result.mostShares <= wholeShare);
            }
        }
        totals.writes += simulation.tableWrites();
    }
}

} // namespace

TEST_CASE("no window admits more than rate x window + burst under faults")
{
    // Guards against tokens that are used twice. With 60 seeds the checks fail if raising a share fills its bucket, if
    // lent tokens don't count against the lender's capacity, or if shares are freed before a retirement is in force.
    // TestAllotmentReconciler, TestCustomerLimiter and TestTokenBucket cover the other safeguards.
    Totals totals;
    const int seeds = seedCount(60);
    runSeeds(totals, seeds, LimitPolicy::Shares, {}, Milliseconds(30'000));
    for (const auto &[customer, result] : totals.customers) {
        MESSAGE(customer.text(), ": requests ", result.requests, ", admitted ", result.admitted, ", refused percent ",
                totals.refusedPercent(customer.text().c_str()), ", loan calls ", result.loanCalls, ", worst excess ",
                result.worstExcess);
    }
    MESSAGE("writes per seed ", totals.writes / seeds);
}

TEST_CASE("a customer within its rate is refused less often than with an equal split")
{
    // Guards against a policy that keeps the limit by refusing customers that stay within it.
    const Faults none { false, false, false, false, false, false, false, 0.001 };
    Totals shares;
    Totals equalSplit;
    const int seeds = seedCount(12);
    runSeeds(shares, seeds, LimitPolicy::Shares, none, Milliseconds(60'000));
    runSeeds(equalSplit, seeds, LimitPolicy::EqualSplit, none, Milliseconds(60'000));
    for (const char *customer : { "looks-up", "sprays" }) {
        const double own = shares.refusedPercent(customer);
        const double other = equalSplit.refusedPercent(customer);
        MESSAGE(seeds, " seeds, ", std::string(customer), " within its rate: refused ", own, " % with shares, ", other,
                " % with equalSplit");
        CHECK(own < other / 2);
    }
    const CustomerResult &greedy = shares.customers.at(CustomerId("greedy"));
    MESSAGE("greedy: requests ", greedy.requests, ", admitted ", greedy.admitted, ", loan calls ", greedy.loanCalls);
    MESSAGE("writes per seed ", shares.writes / seeds);
}
