#include <LibSteering/AbsenceGrace.h>

namespace Sapphire {

namespace {

// Targets that still run reappear in the list about two seconds after the store returns.
constexpr Milliseconds graceTime { 2'300 };

} // namespace

void AbsenceGrace::noteFailure()
{
    m_hasReadFailed = true;
}

void AbsenceGrace::noteSuccess(TimePoint now)
{
    if (m_hasReadFailed) {
        m_hasReadFailed = false;
        m_graceEnd = Deadline::after(now, graceTime);
    }
}

bool AbsenceGrace::isOver(TimePoint now) const
{
    return !m_hasReadFailed && m_graceEnd.hasPassed(now);
}

} // namespace Sapphire
