#include <LibPlatform/CircuitBreaker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("CircuitBreaker opens after consecutive failures and admits one trial per interval")
{
    // Guards against threads that all wait for a platform that is known to be down, and against a breaker that a
    // single lost answer opens.
    CircuitBreaker breaker({ 3, Milliseconds(1000) });
    const TimePoint start(Milliseconds(5000));
    CHECK_FALSE(breaker.recordFailure(start));
    CHECK_FALSE(breaker.recordFailure(start));
    breaker.recordSuccess();
    CHECK_FALSE(breaker.recordFailure(start));
    CHECK_FALSE(breaker.recordFailure(start));
    CHECK(breaker.admits(start));
    CHECK(breaker.recordFailure(start));
    CHECK_FALSE(breaker.admits(start + Milliseconds(999)));
    CHECK(breaker.admits(start + Milliseconds(1000)));
    CHECK_FALSE(breaker.admits(start + Milliseconds(1001)));
    CHECK_FALSE(breaker.recordFailure(start + Milliseconds(1500)));
    CHECK_FALSE(breaker.admits(start + Milliseconds(1999)));
    CHECK(breaker.admits(start + Milliseconds(2000)));
    CHECK(breaker.recordSuccess());
    CHECK(breaker.admits(start + Milliseconds(2001)));
    CHECK_FALSE(breaker.isOpen());
}
