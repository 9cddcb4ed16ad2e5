#include <SapphireLoad/ReferenceBucket.h>

#include <algorithm>

namespace Sapphire {

ReferenceBucket::ReferenceBucket(double rate, double burst) : m_rate(rate), m_burst(burst), m_tokens(burst)
{
}

bool ReferenceBucket::admit(TimePoint at)
{
    if (m_hasStarted && at > m_lastArrival) {
        const double seconds = std::chrono::duration<double>(at - m_lastArrival).count();
        m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
    }
    m_lastArrival = at;
    m_hasStarted = true;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace Sapphire
