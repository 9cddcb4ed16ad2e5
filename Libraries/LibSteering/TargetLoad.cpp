#include <LibSteering/TargetLoad.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

// Reports lose weight with age: after this time, half of the other VMs' requests count.
constexpr Milliseconds halfLife { 1'500 };
// A target that rejected a request gets no requests for this long, doubled with each further rejection in a row.
constexpr Milliseconds shortestPause { 50 };
constexpr int mostDoublings = 3;

} // namespace

void TargetLoad::noteSent()
{
    ++m_inFlight;
}

void TargetLoad::noteEnded()
{
    m_inFlight = std::max(0, m_inFlight - 1);
}

void TargetLoad::noteReport(const LoadReport &report, TimePoint now)
{
    if (report.slots > 0) {
        m_slots = report.slots;
    }
    m_others = std::max(0, report.running + report.waiting - m_inFlight);
    m_reportedAt = now;
    m_shedsInRow = 0;
}

void TargetLoad::noteShed(TimePoint now)
{
    m_fullUntil = Deadline::after(now, shortestPause * (1 << std::min(m_shedsInRow, mostDoublings)));
    ++m_shedsInRow;
}

double TargetLoad::others(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - m_reportedAt) / halfLife;
    return m_others * std::exp2(-age);
}

double TargetLoad::expected(TimePoint now) const
{
    return m_inFlight + others(now);
}

} // namespace Sapphire
