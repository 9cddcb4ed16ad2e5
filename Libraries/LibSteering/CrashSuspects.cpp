#include <LibSteering/CrashSuspects.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr Milliseconds retention { 600'000 };
// Bounds the memory that callers can take up by crashing targets with ever new requests.
constexpr std::size_t mostSuspects = 4096;
// Points for a crash: two if the request was alone at the target, one if it ran beside others.
constexpr int pointsAlone = 2;
constexpr int pointsBesideOthers = 1;
constexpr int refusalPoints = 2;
// An idempotent request may crash one more target before it is refused: the first death can be a coincidence.
constexpr int refusalPointsIdempotent = 4;
// For a request that targets have answered before.
constexpr int refusalPointsAnswered = 16;
constexpr Milliseconds retentionAnswered { 15'000 };

} // namespace

void CrashSuspects::noteDeath(std::vector<Fingerprint> running, bool areAllKnown, TimePoint now)
{
    std::sort(running.begin(), running.end());
    running.erase(std::unique(running.begin(), running.end()), running.end());
    const int points = areAllKnown && running.size() == 1 ? pointsAlone : pointsBesideOthers;
    for (const Fingerprint &fingerprint : running) {
        noteCrash(fingerprint, points, now);
    }
}

void CrashSuspects::noteCrash(const Fingerprint &fingerprint, int points, TimePoint now)
{
    if (!m_suspects.contains(fingerprint) && m_suspects.size() >= mostSuspects) {
        expire(now);
        if (m_suspects.size() >= mostSuspects) {
            return;
        }
    }
    CrashSuspect &suspect = m_suspects[fingerprint];
    suspect.fingerprint = fingerprint;
    suspect.lastSeenAt = now;
    suspect.crashes += points;
}

void CrashSuspects::noteAnswered(const Fingerprint &fingerprint, TimePoint now)
{
    m_suspects.erase(fingerprint);
    if (m_answered.size() < mostSuspects || m_answered.contains(fingerprint)) {
        m_answered[fingerprint] = now;
    }
}

bool CrashSuspects::wasAnswered(const Fingerprint &fingerprint, TimePoint now) const
{
    const auto found = m_answered.find(fingerprint);
    return found != m_answered.end() && now - found->second <= retention;
}

bool CrashSuspects::merge(const CrashSuspect &suspect, TimePoint now)
{
    if (now - suspect.lastSeenAt > retention) {
        return false;
    }
    const auto found = m_suspects.find(suspect.fingerprint);
    if (found == m_suspects.end()) {
        return m_suspects.size() < mostSuspects && m_suspects.emplace(suspect.fingerprint, suspect).second;
    }
    if (suspect.crashes <= found->second.crashes) {
        // VMs repeat what they know to each other, and its age loses the time of the journey each time.
        return false;
    }
    found->second.lastSeenAt = std::max(found->second.lastSeenAt, suspect.lastSeenAt);
    found->second.crashes = suspect.crashes;
    return true;
}

bool CrashSuspects::isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        return false;
    }
    const Microseconds age = now - found->second.lastSeenAt;
    if (wasAnswered(fingerprint, now)) {
        return age <= retentionAnswered && found->second.crashes >= refusalPointsAnswered;
    }
    return age <= retention && found->second.crashes >= (isIdempotent ? refusalPointsIdempotent : refusalPoints);
}

std::vector<CrashSuspect> CrashSuspects::seenAfter(TimePoint after, TimePoint now) const
{
    std::vector<CrashSuspect> result;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        // Other VMs may not know that targets have answered the request, and would refuse it sooner than this one.
        const bool isLikelyHarmless = wasAnswered(fingerprint, now) && suspect.crashes < refusalPointsAnswered;
        if (!isLikelyHarmless && suspect.lastSeenAt > after && now - suspect.lastSeenAt <= retention) {
            result.push_back(suspect);
        }
    }
    return result;
}

std::vector<CrashSuspect> CrashSuspects::worst(std::size_t count, TimePoint now) const
{
    std::vector<CrashSuspect> result = seenAfter(now - retention, now);
    std::erase_if(result, [](const CrashSuspect &suspect) {
        return suspect.crashes < refusalPoints;
    });
    std::sort(result.begin(), result.end(), [](const CrashSuspect &left, const CrashSuspect &right) {
        return left.crashes != right.crashes ? left.crashes > right.crashes : left.lastSeenAt > right.lastSeenAt;
    });
    result.resize(std::min(result.size(), count));
    return result;
}

void CrashSuspects::expire(TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto &entry) {
        return now - entry.second.lastSeenAt > retention;
    });
    std::erase_if(m_answered, [now](const auto &entry) {
        return now - entry.second > retention;
    });
}

} // namespace Sapphire
