#include <LibSteering/FailureTracker.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr int failuresToTakeOut = 3;
constexpr Milliseconds shortestTimeOut { 400 };
constexpr int mostDoublings = 3;

} // namespace

void FailureTracker::noteAnswered()
{
    m_failuresInRow = 0;
    m_timesOut = 0;
    m_isOut = false;
    m_isOnTrial = false;
}

void FailureTracker::noteCheckPassed()
{
    m_failuresInRow = 0;
    m_isOnTrial = m_isOnTrial || m_isOut;
    m_isOut = false;
}

bool FailureTracker::noteFailure(TimePoint now)
{
    ++m_failuresInRow;
    if (m_isOut) {
        takeOut(now);
        return false;
    }
    if (m_isOnTrial || m_failuresInRow >= failuresToTakeOut) {
        takeOut(now);
        return true;
    }
    return false;
}

void FailureTracker::noteUnreachable(TimePoint now)
{
    m_failuresInRow = std::max(m_failuresInRow, failuresToTakeOut);
    takeOut(now);
}

void FailureTracker::takeOut(TimePoint now)
{
    m_isOut = true;
    m_outUntil = Deadline::after(now, shortestTimeOut * (1 << std::min(m_timesOut, mostDoublings)));
    ++m_timesOut;
}

} // namespace Sapphire
