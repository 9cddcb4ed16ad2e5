#pragma once

#include <LibSteering/EventWindow.h>

namespace Sapphire {

struct RatioBudgetSettings
{
    double ratio { 0 }; ///< Events that are allowed for each request.
    double slack { 0 }; ///< Events in a window beyond that.
    Milliseconds window { 10'000 };
};

/// Limits events to a fraction of the requests in any window. Used for retries, which would otherwise multiply an
/// overload, and for spillover to other regions.
class RatioBudget
{
public:
    explicit RatioBudget(RatioBudgetSettings settings) : m_settings(settings)
    {
    }

    void configure(RatioBudgetSettings settings)
    {
        m_settings = settings;
    }
    void noteRequest(TimePoint now);
    /// Returns whether an event may happen now.
    bool isAllowed(TimePoint now);
    void noteEvent(TimePoint now);

private:
    RatioBudgetSettings m_settings;
    EventWindow m_requests;
    EventWindow m_events;
};

} // namespace Sapphire
