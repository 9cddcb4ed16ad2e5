#pragma once

#include <LibCore/Deadline.h>

#include <chrono>
#include <mutex>

namespace Sapphire {

struct CircuitBreakerSettings
{
    /// Consecutive failures that open the breaker. More than one, since a single lost answer isn't an outage.
    int failuresToOpen { 3 };
    /// Time between two trial calls while the breaker is open.
    Microseconds trialInterval { std::chrono::seconds(1) };
};

/// Makes calls to a failing server fail at once instead of at their deadlines. Safe to share between threads.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const CircuitBreakerSettings &settings);

    /// Returns whether a call may be made. While the breaker is open, one call per trial interval may. A trial that
    /// hangs doesn't delay the next one, because the fault may affect its own connection only.
    [[nodiscard]] bool admits(TimePoint now);
    /// Records that a call was answered. Returns whether this closed the breaker.
    bool recordSuccess();
    /// Records a failed call. Returns whether this opened the breaker.
    bool recordFailure(TimePoint now);
    bool isOpen() const;

private:
    const CircuitBreakerSettings m_settings;
    mutable std::mutex m_mutex;
    int m_consecutiveFailures { 0 };
    bool m_isOpen { false };
    Deadline m_nextTrial;
};

} // namespace Sapphire
