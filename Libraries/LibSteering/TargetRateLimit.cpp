#include <LibSteering/TargetRateLimit.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Sapphire {

namespace {

// The part of the rate that is used. The shares of the VMs follow demands that they know with some delay, so that they
// add up to 1 only roughly.
constexpr double usableFraction = 0.8;
// An allowed request is lost if it isn't sent within this time.
constexpr double turnSeconds = 1;
// A target that asks for less still gets so many requests a second, whose answers tell when it takes more.
constexpr double leastRate = 0.25;

} // namespace

double TargetRateLimit::ownRate() const
{
    return usableFraction * m_share * std::max(leastRate, m_rate.value_or(0));
}

bool TargetRateLimit::noteNamed(std::optional<double> requestsPerSecond, double phase, TimePoint now)
{
    if (m_rate == requestsPerSecond) {
        return false;
    }
    if (m_rate) {
        advance(now);
    } else {
        m_allowance = phase;
        m_advancedAt = now;
    }
    m_rate = requestsPerSecond;
    return true;
}

void TargetRateLimit::setShare(double share, TimePoint now)
{
    advance(now);
    m_share = share;
}

void TargetRateLimit::advance(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_advancedAt).count();
    m_advancedAt = std::max(m_advancedAt, now);
    m_allowance += ownRate() * std::max(0.0, seconds);
    const double most = ownRate() * turnSeconds;
    if (most >= 1) {
        m_allowance = std::min(m_allowance, most);
    } else if (m_allowance >= 2) {
        // Turns have been missed. Only the last one may still be used, if it has not ended.
        m_allowance = 1 + m_allowance - std::floor(m_allowance);
    }
}

bool TargetRateLimit::maySend(TimePoint now)
{
    if (!m_rate) {
        return true;
    }
    advance(now);
    const double most = ownRate() * turnSeconds;
    const bool isTurnOver = most < 1 && m_allowance > 1 + most;
    return m_allowance >= 1 && !isTurnOver;
}

void TargetRateLimit::noteSent(TimePoint now)
{
    if (m_rate) {
        advance(now);
        m_allowance -= 1;
    }
}

} // namespace Sapphire
