#include <LibSteering/TargetQuality.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

constexpr double slowStep = 0.15;
// A timeout is stronger evidence than a slow answer and weighs more.
constexpr double timeoutStep = 0.5;
constexpr double failureStep = 0.15;
constexpr double leastSlowness = 0.7;
constexpr double mostSlowness = 20;
constexpr Milliseconds halfLife { 4'000 };

double ratioOf(Microseconds time, Microseconds expected)
{
    return static_cast<double>(time.count()) / static_cast<double>(std::max<Microseconds::rep>(1, expected.count()));
}

} // namespace

double TargetQuality::decayFactor(TimePoint now) const
{
    return std::exp2(-std::chrono::duration<double>(now - m_notedAt) / halfLife);
}

double TargetQuality::slowness(TimePoint now) const
{
    return 1 + (m_slowness - 1) * decayFactor(now);
}

double TargetQuality::failureRate(TimePoint now) const
{
    return m_failureRate * decayFactor(now);
}

void TargetQuality::decay(TimePoint now)
{
    m_slowness = slowness(now);
    m_failureRate = failureRate(now);
    m_notedAt = now;
}

void TargetQuality::noteAnswer(Microseconds time, Microseconds expected, TimePoint now)
{
    decay(now);
    const double ratio = std::min(ratioOf(time, expected), mostSlowness);
    m_slowness = std::max(m_slowness + (ratio - m_slowness) * slowStep, leastSlowness);
    m_failureRate -= m_failureRate * failureStep;
}

void TargetQuality::noteTimeout(Microseconds time, Microseconds expected, TimePoint now)
{
    decay(now);
    const double ratio = std::min(ratioOf(time, expected), mostSlowness);
    m_slowness += std::max(0.0, ratio - m_slowness) * timeoutStep;
    noteFailure(now);
}

void TargetQuality::noteFailure(TimePoint now)
{
    decay(now);
    m_failureRate += (1 - m_failureRate) * failureStep;
}

void TargetQuality::reset()
{
    m_slowness = 1;
    m_failureRate = 0;
}

} // namespace Sapphire
