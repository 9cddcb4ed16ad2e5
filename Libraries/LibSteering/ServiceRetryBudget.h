#pragma once

#include <LibCore/Ids.h>
#include <LibSteering/RatioBudget.h>

#include <unordered_map>

namespace Sapphire {

/// Limits the retries that this VM sends to each service within a time window, so that retries can't amplify an
/// overload. If each VM keeps to the ratio, so does the whole fleet; the slack is this VM's share of the fleet's slack.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(RatioBudgetSettings settings) : m_settings(settings)
    {
    }

    void configure(RatioBudgetSettings settings);
    /// Counts a caller's request to the service.
    void noteRequest(const ServiceId &service, TimePoint now);
    /// Returns whether a retry may be made now.
    bool mayRetry(const ServiceId &service, TimePoint now);
    /// Counts a retry.
    void noteRetry(const ServiceId &service, TimePoint now);

private:
    RatioBudget &budgetOf(const ServiceId &service);

    RatioBudgetSettings m_settings;
    std::unordered_map<ServiceId, RatioBudget> m_budgets;
};

} // namespace Sapphire
