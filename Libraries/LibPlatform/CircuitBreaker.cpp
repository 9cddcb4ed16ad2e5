#include <LibPlatform/CircuitBreaker.h>

namespace Sapphire {

CircuitBreaker::CircuitBreaker(const CircuitBreakerSettings &settings) : m_settings(settings)
{
}

bool CircuitBreaker::admits(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    if (!m_isOpen) {
        return true;
    }
    if (!m_nextTrial.hasPassed(now)) {
        return false;
    }
    m_nextTrial = Deadline::after(now, m_settings.trialInterval);
    return true;
}

bool CircuitBreaker::recordSuccess()
{
    const std::lock_guard guard(m_mutex);
    const bool wasOpen = m_isOpen;
    m_consecutiveFailures = 0;
    m_isOpen = false;
    return wasOpen;
}

bool CircuitBreaker::recordFailure(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    ++m_consecutiveFailures;
    if (m_isOpen || m_consecutiveFailures < m_settings.failuresToOpen) {
        return false;
    }
    m_isOpen = true;
    m_nextTrial = Deadline::after(now, m_settings.trialInterval);
    return true;
}

bool CircuitBreaker::isOpen() const
{
    const std::lock_guard guard(m_mutex);
    return m_isOpen;
}

} // namespace Sapphire
