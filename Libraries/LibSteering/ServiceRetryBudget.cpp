#include <LibSteering/ServiceRetryBudget.h>

namespace Sapphire {

void ServiceRetryBudget::noteRequest(const ServiceId &service, TimePoint now)
{
    EventWindow &requests = m_windows[service].requests;
    requests.advance(now - m_settings.window);
    requests.note(now);
}

bool ServiceRetryBudget::mayRetry(const ServiceId &service, TimePoint now)
{
    const TimePoint begin = now - m_settings.window;
    Window &window = m_windows[service];
    const double allowed = m_settings.ratio * static_cast<double>(window.requests.advance(begin)) + m_settings.slack;
    return static_cast<double>(window.retries.advance(begin) + 1) <= allowed;
}

void ServiceRetryBudget::noteRetry(const ServiceId &service, TimePoint now)
{
    m_windows[service].retries.note(now);
}

} // namespace Sapphire
