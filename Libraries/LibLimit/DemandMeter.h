#pragma once

#include <LibCore/Deadline.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

/// Measures events a second, with exponentially decaying weight.
class DemandMeter
{
public:
    void add(double amount, TimePoint now)
    {
        decay(now);
        m_sum += amount;
    }
    double perSecond(TimePoint now)
    {
        decay(now);
        return m_sum / memorySeconds;
    }

private:
    // Short enough to follow a move of callers within seconds, long enough to average a burst.
    static constexpr double memorySeconds = 5;

    void decay(TimePoint now)
    {
        if (now > m_at) {
            m_sum *= std::exp(-std::chrono::duration<double>(now - m_at).count() / memorySeconds);
            m_at = now;
        }
    }

    double m_sum { 0 };
    TimePoint m_at {};
};

} // namespace Sapphire
