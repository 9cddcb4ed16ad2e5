#pragma once

#include <LibCore/Deadline.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

/// Measures events a second, with exponentially decaying weight.
class RateMeter
{
public:
    /// A short memory follows a move of callers at once, a long one averages bursts.
    explicit RateMeter(Microseconds memory) : m_memorySeconds(std::chrono::duration<double>(memory).count())
    {
    }

    void add(double amount, TimePoint now)
    {
        decay(now);
        m_sum += amount;
    }
    double perSecond(TimePoint now)
    {
        decay(now);
        return m_sum / m_memorySeconds;
    }

private:
    void decay(TimePoint now)
    {
        if (now > m_at) {
            m_sum *= std::exp(-std::chrono::duration<double>(now - m_at).count() / m_memorySeconds);
            m_at = now;
        }
    }

    double m_memorySeconds;
    double m_sum { 0 };
    TimePoint m_at {};
};

} // namespace Sapphire
