#include <LibSteering/RetryBudget.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("RetryBudget lets at most a fifth of the requests be retried")
{
    // Guards against retries that multiply the load on overloaded targets.
    RetryBudget budget;
    const CustomerId customer("bodega-1");
    const ServiceId service("status");
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.noteRequest(customer, service);
        retries += budget.tryRetry(customer, service) ? 1 : 0;
    }
    CHECK(retries <= 202);
    CHECK(retries >= 190);
    CHECK_FALSE(budget.tryRetry(CustomerId("bodega-2"), service));
}
