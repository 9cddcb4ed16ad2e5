#include <LibSteering/FailureTracker.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr int failuresToEject = 3;
constexpr Milliseconds shortestCheckDelay { 400 };
constexpr int mostDoublings = 3;

} // namespace

void FailureTracker::noteAnswered()
{
    m_failuresInRow = 0;
    m_ejections = 0;
    m_isEjected = false;
    m_isOnTrial = false;
}

void FailureTracker::noteCheckPassed()
{
    m_failuresInRow = 0;
    m_isOnTrial = m_isOnTrial || m_isEjected;
    m_isEjected = false;
}

bool FailureTracker::noteFailure(TimePoint now)
{
    ++m_failuresInRow;
    if (m_isEjected) {
        eject(now);
        return false;
    }
    if (m_isOnTrial || m_failuresInRow >= failuresToEject) {
        eject(now);
        return true;
    }
    return false;
}

void FailureTracker::noteUnreachable(TimePoint now)
{
    m_failuresInRow = std::max(m_failuresInRow, failuresToEject);
    eject(now);
}

void FailureTracker::eject(TimePoint now)
{
    m_isEjected = true;
    m_nextCheckAt = Deadline::after(now, shortestCheckDelay * (1 << std::min(m_ejections, mostDoublings)));
    ++m_ejections;
}

} // namespace Sapphire
