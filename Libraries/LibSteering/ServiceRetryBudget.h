#pragma once

#include <LibCore/Ids.h>
#include <LibSteering/RatioBudget.h>

#include <unordered_map>

namespace Sapphire {

/// Limits the retries of this VM to a service in any window, so that retries can't multiply an overload. The ratio
/// holds for each VM by itself and so for all together; the slack is this VM's part of what the operator allows.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(RatioBudgetSettings settings) : m_settings(settings)
    {
    }

    void configure(RatioBudgetSettings settings);
    /// Accounts for a caller's request to the service.
    void noteRequest(const ServiceId &service, TimePoint now);
    /// Returns whether a retry may be made now.
    bool mayRetry(const ServiceId &service, TimePoint now);
    /// Accounts for a retry.
    void noteRetry(const ServiceId &service, TimePoint now);

private:
    RatioBudget &budgetOf(const ServiceId &service);

    RatioBudgetSettings m_settings;
    std::unordered_map<ServiceId, RatioBudget> m_budgets;
};

} // namespace Sapphire
