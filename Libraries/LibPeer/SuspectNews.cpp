#include <LibPeer/SuspectNews.h>

#include <algorithm>
#include <utility>

namespace Sapphire {

namespace {

constexpr Milliseconds shortestInterval { 100 };
constexpr std::size_t mostSuspects = 8;
constexpr int mostRepeats = 2;

} // namespace

void SuspectNews::add(const CrashSuspect &suspect)
{
    std::erase_if(m_new, [&](const CrashSuspect &other) {
        return other.fingerprint == suspect.fingerprint;
    });
    m_new.push_back(suspect);
    if (m_new.size() > mostSuspects) {
        // The one with the fewest crashes is the likeliest to be a bystander.
        m_new.erase(
            std::min_element(m_new.begin(), m_new.end(), [](const CrashSuspect &left, const CrashSuspect &right) {
                return left.crashes < right.crashes;
            }));
    }
}

Deadline SuspectNews::nextAt() const
{
    return m_new.empty() ? Deadline::never() : m_quietUntil;
}

std::vector<CrashSuspect> SuspectNews::takeNew(TimePoint now)
{
    m_quietUntil = Deadline::after(now, shortestInterval);
    for (const CrashSuspect &suspect : m_new) {
        std::erase_if(m_told, [&](const Told &told) {
            return told.suspect.fingerprint == suspect.fingerprint;
        });
        m_told.push_back({ suspect, mostRepeats });
    }
    if (m_told.size() > mostSuspects) {
        m_told.erase(m_told.begin(), m_told.end() - mostSuspects);
    }
    return std::exchange(m_new, {});
}

std::vector<CrashSuspect> SuspectNews::takeRepeats()
{
    std::vector<CrashSuspect> repeats;
    for (Told &told : m_told) {
        repeats.push_back(told.suspect);
        --told.repeats;
    }
    std::erase_if(m_told, [](const Told &told) {
        return told.repeats <= 0;
    });
    return repeats;
}

} // namespace Sapphire
