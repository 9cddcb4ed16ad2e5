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
    /// Idle connections kept for reuse. With more concurrent calls, the surplus connections are closed after use.
    std::size_t idleConnections { 8 };
    /// A connection idle for longer is not used again. Shorter than the idle timeout of common servers (15 s and
    /// more), because a write on a connection that the server is closing ends as "may have run".
    Microseconds idleTime { std::chrono::seconds(10) };
    /// Size of the largest answer body that is accepted.
    std::size_t maxAnswerBytes { std::size_t { 128 } * 1024 * 1024 };
    /// A timeout after a shorter wait doesn't count as a failure of the platform. Otherwise a few callers close to
    /// their deadlines would open the breaker for all. Longer than three round trips between regions (55 ms each).
    Microseconds minimumCountedWait { Milliseconds(200) };
    CircuitBreakerSettings breaker {};
};

} // namespace Sapphire
