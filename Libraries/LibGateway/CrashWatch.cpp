#include <LibGateway/CrashWatch.h>

#include <LibCore/Hash.h>

namespace Sapphire {

namespace {

// A target that ended is found out within this time: a health check takes up to a second.
constexpr Milliseconds brokenMemory { 2'500 };
// Suspects that were seen within this time are told to the others.
constexpr Milliseconds justNow { 1 };
// When more targets than these end within the time, something else than their requests ends them.
constexpr std::size_t mostSeparateEnds = 3;
constexpr Milliseconds separateEndTime { 1'000 };

} // namespace

Fingerprint fingerprintOf(const CustomerId &customer, const CallerRequest &request, std::string_view body)
{
    const std::string identity = customer.text() + "\n" + request.method + "\n" + request.host + "\n" + request.target
        + "\n" + std::to_string(stableHash(body));
    return Fingerprint(sha256Hex(identity));
}

CrashWatch::CrashWatch(std::function<void(const CrashSuspect &)> onSuspect) : m_onSuspect(std::move(onSuspect))
{
}

void CrashWatch::noteBroken(const TargetId &target, const Fingerprint &fingerprint, TimePoint now)
{
    m_broken[target].push_back({ fingerprint, now });
}

void CrashWatch::noteEnded(const TargetId &target, TimePoint now)
{
    const auto found = m_broken.find(target);
    if (found == m_broken.end()) {
        return;
    }
    std::vector<Broken> broken = std::move(found->second);
    m_broken.erase(found);
    std::erase_if(broken, [now](const Broken &entry) {
        return now - entry.at > brokenMemory;
    });
    const bool isMassEnd = noteEnd(now);
    std::vector<Fingerprint> blamed;
    for (const Broken &entry : broken) {
        if (!isMassEnd || m_suspects.isSuspected(entry.fingerprint)) {
            blamed.push_back(entry.fingerprint);
        }
    }
    const bool areAll = blamed.size() == broken.size();
    m_suspects.noteDeath(std::move(blamed), areAll, now);
    for (const CrashSuspect &suspect : m_suspects.seenAfter(now - justNow, now)) {
        m_onSuspect(suspect);
    }
}

bool CrashWatch::noteEnd(TimePoint now)
{
    m_ends.note(now);
    return m_ends.advance(now - separateEndTime) > mostSeparateEnds;
}

void CrashWatch::noteAnswered(const Fingerprint &fingerprint, TimePoint now)
{
    m_suspects.noteAnswered(fingerprint, now);
}

void CrashWatch::merge(const CrashSuspect &suspect, TimePoint now)
{
    m_suspects.merge(suspect, now);
}

bool CrashWatch::isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const
{
    return m_suspects.isRefused(fingerprint, isIdempotent, now);
}

void CrashWatch::expire(TimePoint now)
{
    m_suspects.expire(now);
    std::erase_if(m_broken, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back().at > brokenMemory;
    });
}

} // namespace Sapphire
