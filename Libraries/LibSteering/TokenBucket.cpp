#include <LibSteering/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

constexpr double microsecondsPerSecond = 1e6;
// Sums of fractions of a token may fall short of a whole one by rounding.
constexpr double roundingError = 1e-9;

} // namespace

double TokenBucket::capacity() const
{
    return m_burst * static_cast<double>(m_share.value()) / static_cast<double>(wholeShare.value());
}

double TokenBucket::refillPerMicrosecond() const
{
    const double rate = m_ratePerSecond * static_cast<double>(m_share.value());
    return rate / static_cast<double>(wholeShare.value()) / microsecondsPerSecond;
}

double TokenBucket::availableCapacity() const
{
    return std::max(0.0, capacity() - m_lent);
}

void TokenBucket::refill(TimePoint until)
{
    if (until <= m_refilledAt) {
        return;
    }
    const auto elapsed = static_cast<double>((until - m_refilledAt).count());
    m_tokens = std::min(availableCapacity(), m_tokens + elapsed * refillPerMicrosecond());
    m_refilledAt = until;
}

void TokenBucket::advance(TimePoint now)
{
    while (!m_loanEnds.empty() && m_loanEnds.begin()->first <= now) {
        refill(m_loanEnds.begin()->first);
        m_lent -= m_loanEnds.begin()->second;
        m_loanEnds.erase(m_loanEnds.begin());
    }
    if (m_loanEnds.empty()) {
        m_lent = 0;
    }
    refill(now);
}

void TokenBucket::configure(double ratePerSecond, double burst, Share share, TimePoint now)
{
    advance(now);
    m_ratePerSecond = ratePerSecond;
    m_burst = burst;
    m_share = share;
    m_tokens = std::min(m_tokens, availableCapacity());
}

bool TokenBucket::take(TimePoint now)
{
    advance(now);
    if (m_tokens < 1 - roundingError) {
        return false;
    }
    m_tokens = std::max(0.0, m_tokens - 1);
    return true;
}

Tokens TokenBucket::lend(Tokens most, Deadline loanDeadline, TimePoint now)
{
    advance(now);
    const auto whole = static_cast<std::int64_t>(std::floor(m_tokens + roundingError));
    const std::int64_t lent = std::clamp<std::int64_t>(most.value(), 0, whole);
    if (lent == 0) {
        return Tokens(0);
    }
    m_tokens = std::max(0.0, m_tokens - static_cast<double>(lent));
    m_lent += static_cast<double>(lent);
    m_loanEnds[loanDeadline.at()] += static_cast<double>(lent);
    return Tokens(lent);
}

double TokenBucket::tokens(TimePoint now)
{
    advance(now);
    return m_tokens;
}

bool TokenBucket::isSettled(TimePoint now)
{
    advance(now);
    return m_lent <= capacity() + roundingError;
}

Deadline TokenBucket::expectedAt(double wanted, TimePoint now)
{
    advance(now);
    double tokens = m_tokens;
    double lent = m_lent;
    TimePoint at = std::max(now, m_refilledAt);
    auto loanEnd = m_loanEnds.begin();
    while (tokens < wanted - roundingError) {
        const double limit = std::max(0.0, capacity() - lent);
        const double perMicrosecond = refillPerMicrosecond();
        const bool isReachable = perMicrosecond > 0 && limit >= wanted - roundingError;
        const double needed = isReachable ? std::ceil((wanted - tokens) / perMicrosecond) : 0;
        if (isReachable
            && (loanEnd == m_loanEnds.end() || needed <= static_cast<double>((loanEnd->first - at).count()))) {
            return Deadline(at + Microseconds(static_cast<Microseconds::rep>(needed)));
        }
        if (loanEnd == m_loanEnds.end()) {
            return Deadline::never();
        }
        const auto elapsed = static_cast<double>((loanEnd->first - at).count());
        tokens = std::min(limit, tokens + elapsed * perMicrosecond);
        lent -= loanEnd->second;
        at = loanEnd->first;
        ++loanEnd;
    }
    return Deadline(at);
}

} // namespace Sapphire
