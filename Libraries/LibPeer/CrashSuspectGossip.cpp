#include <LibPeer/CrashSuspectGossip.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

constexpr Milliseconds shortestInterval { 100 };
constexpr std::size_t mostSuspects = 8;
constexpr int mostRepeats = 2;

} // namespace

void CrashSuspectGossip::add(const CrashSuspect &suspect)
{
    std::erase_if(m_new, [&](const CrashSuspect &other) {
        return other.fingerprint == suspect.fingerprint;
    });
    m_new.push_back(suspect);
    if (m_new.size() > mostSuspects) {
        // The one with the fewest crashes is the likeliest not to be the cause.
        m_new.erase(
            std::min_element(m_new.begin(), m_new.end(), [](const CrashSuspect &left, const CrashSuspect &right) {
                return left.crashes < right.crashes;
            }));
    }
}

Deadline CrashSuspectGossip::nextAt() const
{
    return m_new.empty() ? Deadline::never() : m_quietUntil;
}

std::vector<CrashSuspect> CrashSuspectGossip::takeNew(TimePoint now)
{
    m_quietUntil = Deadline::after(now, shortestInterval);
    for (const CrashSuspect &suspect : m_new) {
        std::erase_if(m_sent, [&](const Sent &sent) {
            return sent.suspect.fingerprint == suspect.fingerprint;
        });
        m_sent.push_back({ suspect, mostRepeats });
    }
    if (m_sent.size() > mostSuspects) {
        m_sent.erase(m_sent.begin(), m_sent.end() - mostSuspects);
    }
    return std::exchange(m_new, {});
}

std::vector<CrashSuspect> CrashSuspectGossip::takeRepeats()
{
    std::vector<CrashSuspect> repeats;
    for (Sent &sent : m_sent) {
        repeats.push_back(sent.suspect);
        --sent.repeats;
    }
    std::erase_if(m_sent, [](const Sent &sent) {
        return sent.repeats <= 0;
    });
    return repeats;
}

} // namespace Sapphire
