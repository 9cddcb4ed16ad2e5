#include <StandIns/Platform/RateCounter.h>

#include <algorithm>
#include <chrono>

namespace Sapphire {

void RateCounter::add(TimePoint now)
{
    const std::lock_guard guard(m_mutex);
    ++m_count;
    m_lastSecond.push_back(now);
    while (m_lastSecond.front() + std::chrono::seconds(1) <= now) {
        m_lastSecond.pop_front();
    }
    m_mostPerSecond = std::max<std::uint64_t>(m_mostPerSecond, m_lastSecond.size());
}

void RateCounter::clear()
{
    const std::lock_guard guard(m_mutex);
    m_lastSecond.clear();
    m_count = 0;
    m_mostPerSecond = 0;
}

std::uint64_t RateCounter::count() const
{
    const std::lock_guard guard(m_mutex);
    return m_count;
}

std::uint64_t RateCounter::mostPerSecond() const
{
    const std::lock_guard guard(m_mutex);
    return m_mostPerSecond;
}

} // namespace Sapphire
