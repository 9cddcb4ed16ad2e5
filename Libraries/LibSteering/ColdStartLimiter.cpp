#include <LibSteering/ColdStartLimiter.h>

#include <algorithm>
#include <chrono>

namespace Sapphire {

namespace {

constexpr std::chrono::seconds window { 1 };
// Requests sent within one second may arrive within a shorter time, and VMs may disagree for a while about who the
// owners are.
constexpr double usableFraction = 0.6;
constexpr int mostOwners = 3;

double usable(double requestsPerSecond, const ColdStartSettings &settings)
{
    return usableFraction * (requestsPerSecond * settings.overage + settings.slack);
}

} // namespace

int ColdStartLimiter::ownerCount(double requestsPerSecond, const ColdStartSettings &settings)
{
    return std::clamp(static_cast<int>(usable(requestsPerSecond, settings)), 1, mostOwners);
}

void ColdStartLimiter::configure(double requestsPerSecond, const ColdStartSettings &settings, bool isOwner)
{
    const int owners = ownerCount(requestsPerSecond, settings);
    m_allowance = isOwner ? static_cast<int>(usable(requestsPerSecond, settings) / owners) : 0;
}

bool ColdStartLimiter::maySend(TimePoint now)
{
    return static_cast<int>(m_sent.advance(now - window)) < m_allowance;
}

void ColdStartLimiter::noteSent(TimePoint now)
{
    m_sent.note(now);
}

} // namespace Sapphire
