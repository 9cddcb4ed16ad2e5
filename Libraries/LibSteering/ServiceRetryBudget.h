#pragma once

#include <LibCore/Ids.h>
#include <LibSteering/EventWindow.h>

#include <unordered_map>

namespace Sapphire {

struct ServiceRetryBudgetSettings
{
    double ratio { 0.2 }; ///< Retries for each request.
    double slack { 0 }; ///< Retries in a window beyond that.
    Milliseconds window { 10'000 };
};

/// Limits the retries of this VM to a service in any window, so that retries can't multiply an overload. The ratio
/// holds for each VM by itself and so for all together; the slack is this VM's part of what the operator allows.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetSettings settings) : m_settings(settings)
    {
    }

    void configure(ServiceRetryBudgetSettings settings)
    {
        m_settings = settings;
    }
    /// Accounts for a caller's request to the service.
    void noteRequest(const ServiceId &service, TimePoint now);
    /// Returns whether a retry may be made now.
    bool mayRetry(const ServiceId &service, TimePoint now);
    /// Accounts for a retry.
    void noteRetry(const ServiceId &service, TimePoint now);

private:
    struct Window
    {
        EventWindow requests;
        EventWindow retries;
    };

    ServiceRetryBudgetSettings m_settings;
    std::unordered_map<ServiceId, Window> m_windows;
};

} // namespace Sapphire
