#include <LibGateway/CrashMonitor.h>

#include <LibCore/Hash.h>

namespace Sapphire {

namespace {

// The death of a target is detected within this time: a health check takes up to a second.
constexpr Milliseconds lostConnectionMemory { 2'500 };
// Suspects that were seen within this time are broadcast to the other VMs.
constexpr Milliseconds broadcastWindow { 1 };
// If more targets than these die within the time, their requests are not the cause.
constexpr std::size_t mostIndependentDeaths = 3;
constexpr Milliseconds massDeathTime { 1'000 };

} // namespace

Fingerprint fingerprintOf(const CustomerId &customer, const CallerRequest &request, std::string_view body)
{
    const std::string identity = customer.text() + "\n" + request.method + "\n" + request.host + "\n" + request.target
        + "\n" + std::to_string(stableHash(body));
    return Fingerprint(sha256Hex(identity));
}

CrashMonitor::CrashMonitor(std::function<void(const CrashSuspect &)> onSuspect) : m_onSuspect(std::move(onSuspect))
{
}

void CrashMonitor::noteConnectionLost(const TargetId &target, const Fingerprint &fingerprint, TimePoint now)
{
    m_lostConnections[target].push_back({ fingerprint, now });
}

TargetDeath CrashMonitor::noteTargetDied(const TargetId &target, TimePoint now)
{
    const auto found = m_lostConnections.find(target);
    if (found == m_lostConnections.end()) {
        return {};
    }
    std::vector<LostConnection> lost = std::move(found->second);
    m_lostConnections.erase(found);
    std::erase_if(lost, [now](const LostConnection &entry) {
        return now - entry.at > lostConnectionMemory;
    });
    const bool isMassDeath = countDeath(now);
    std::vector<Fingerprint> blamed;
    for (const LostConnection &entry : lost) {
        if (!isMassDeath || m_suspects.isSuspected(entry.fingerprint)) {
            blamed.push_back(entry.fingerprint);
        }
    }
    const TargetDeath death { lost.size(), blamed.size(), isMassDeath };
    const bool areAllBlamed = blamed.size() == lost.size();
    m_suspects.noteDeath(std::move(blamed), areAllBlamed, now);
    for (const CrashSuspect &suspect : m_suspects.seenAfter(now - broadcastWindow, now)) {
        m_onSuspect(suspect);
    }
    return death;
}

bool CrashMonitor::countDeath(TimePoint now)
{
    m_deaths.note(now);
    return m_deaths.advance(now - massDeathTime) > mostIndependentDeaths;
}

void CrashMonitor::noteAnswered(const Fingerprint &fingerprint, TimePoint now)
{
    m_suspects.noteAnswered(fingerprint, now);
}

void CrashMonitor::merge(const CrashSuspect &suspect, TimePoint now)
{
    m_suspects.merge(suspect, now);
}

bool CrashMonitor::isRefused(const Fingerprint &fingerprint, bool isIdempotent, TimePoint now) const
{
    return m_suspects.isRefused(fingerprint, isIdempotent, now);
}

void CrashMonitor::expire(TimePoint now)
{
    m_suspects.expire(now);
    std::erase_if(m_lostConnections, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back().at > lostConnectionMemory;
    });
}

} // namespace Sapphire
