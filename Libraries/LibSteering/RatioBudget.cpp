#include <LibSteering/RatioBudget.h>

namespace Sapphire {

void RatioBudget::noteRequest(TimePoint now)
{
    m_requests.advance(now - m_settings.window);
    m_requests.note(now);
}

bool RatioBudget::isAllowed(TimePoint now)
{
    const TimePoint begin = now - m_settings.window;
    const double allowed = m_settings.ratio * static_cast<double>(m_requests.advance(begin)) + m_settings.slack;
    return static_cast<double>(m_events.advance(begin) + 1) <= allowed;
}

void RatioBudget::noteEvent(TimePoint now)
{
    m_events.note(now);
}

} // namespace Sapphire
