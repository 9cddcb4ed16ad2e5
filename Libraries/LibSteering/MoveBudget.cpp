#include <LibSteering/MoveBudget.h>

namespace Sapphire {

void MoveBudget::noteRequest(TimePoint now)
{
    m_requests.advance(now - m_settings.window);
    m_requests.note(now);
}

bool MoveBudget::mayMove(TimePoint now)
{
    const TimePoint begin = now - m_settings.window;
    const double allowed = m_settings.share * static_cast<double>(m_requests.advance(begin));
    return static_cast<double>(m_moves.advance(begin) + 1) <= allowed;
}

void MoveBudget::noteMove(TimePoint now)
{
    m_moves.note(now);
}

} // namespace Sapphire
