#include <LibSteering/ServiceRetryBudget.h>

namespace Sapphire {

void ServiceRetryBudget::configure(RatioBudgetSettings settings)
{
    m_settings = settings;
    for (auto &[service, budget] : m_budgets) {
        budget.configure(settings);
    }
}

RatioBudget &ServiceRetryBudget::budgetOf(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_settings).first->second;
}

void ServiceRetryBudget::noteRequest(const ServiceId &service, TimePoint now)
{
    budgetOf(service).noteRequest(now);
}

bool ServiceRetryBudget::mayRetry(const ServiceId &service, TimePoint now)
{
    return budgetOf(service).isAllowed(now);
}

void ServiceRetryBudget::noteRetry(const ServiceId &service, TimePoint now)
{
    budgetOf(service).noteEvent(now);
}

} // namespace Sapphire
