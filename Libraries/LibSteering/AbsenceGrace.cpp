#include <LibSteering/AbsenceGrace.h>

namespace Sapphire {

namespace {

// Entries of living targets are back about two seconds after the store.
constexpr Milliseconds graceTime { 2'300 };

} // namespace

void AbsenceGrace::noteFailure()
{
    m_isLost = true;
}

void AbsenceGrace::noteSuccess(TimePoint now)
{
    if (m_isLost) {
        m_isLost = false;
        m_graceEnd = Deadline::after(now, graceTime);
    }
}

bool AbsenceGrace::isOver(TimePoint now) const
{
    return !m_isLost && m_graceEnd.hasPassed(now);
}

} // namespace Sapphire
