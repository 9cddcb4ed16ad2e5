#pragma once

#include <LibCore/Deadline.h>

#include <cmath>

namespace Sapphire {

/// The exponentially weighted average of a quantity that is sampled at irregular intervals.
class MovingAverage
{
public:
    /// Samples lose their weight with the given time constant.
    explicit MovingAverage(Microseconds timeConstant) : m_timeConstant(timeConstant)
    {
    }

    void note(double sample, TimePoint now)
    {
        const double age = std::chrono::duration<double>(now - m_notedAt) / m_timeConstant;
        const double weight = m_hasSample ? 1 - std::exp(-age) : 1;
        m_value += (sample - m_value) * weight;
        m_notedAt = now;
        m_hasSample = true;
    }
    bool hasSample() const
    {
        return m_hasSample;
    }
    /// Returns 0 before the first sample.
    double value() const
    {
        return m_value;
    }

private:
    Microseconds m_timeConstant;
    bool m_hasSample { false };
    TimePoint m_notedAt {};
    double m_value { 0 };
};

} // namespace Sapphire
