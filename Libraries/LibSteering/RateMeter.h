#pragma once

#include <LibCore/Deadline.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

/// Measures a rate in events a second. The weight of past events decays exponentially.
class RateMeter
{
public:
    /// A short time constant follows changes at once, a long one averages bursts.
    explicit RateMeter(Microseconds timeConstant)
        : m_timeConstantSeconds(std::chrono::duration<double>(timeConstant).count())
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
        return m_sum / m_timeConstantSeconds;
    }

private:
    void decay(TimePoint now)
    {
        if (now > m_decayedAt) {
            m_sum *= std::exp(-std::chrono::duration<double>(now - m_decayedAt).count() / m_timeConstantSeconds);
            m_decayedAt = now;
        }
    }

    double m_timeConstantSeconds;
    double m_sum { 0 };
    TimePoint m_decayedAt {};
};

} // namespace Sapphire
