#pragma once

#include <LibPlatform/CircuitBreaker.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace Sapphire {

/// Settings of one client of the platform.
struct PlatformClientSettings
{
    /// "ip:port".
    std::string address;
    /// Open connections kept for later calls; calls of more threads than this open connections of their own.
    std::size_t idleConnections { 8 };
    /// A connection idle for longer is not used again. Shorter than the idle limit of usual servers (15 s and more),
    /// because a write on a connection that the server is closing ends as "may have run".
    Microseconds idleTime { std::chrono::seconds(10) };
    /// Bytes of the largest answer body that is read.
    std::size_t largestAnswer { std::size_t { 128 } * 1024 * 1024 };
    /// A timeout after a shorter wait is not counted as the platform's failure. Otherwise a few callers that are near
    /// their own deadlines would open the breaker for all. More than three round trips between regions (55 ms each).
    Microseconds shortestTellingWait { Milliseconds(200) };
    CircuitBreakerSettings breaker {};
};

} // namespace Sapphire
