#include <LibSteering/RetryBudget.h>

#include <algorithm>

namespace Sapphire {

namespace {

constexpr double creditPerRequest = 0.2;
// The first credit lets a customer with few requests retry at all; the limit bounds the credit that builds up while
// nothing is retried.
constexpr double mostCredit = 10.0;
constexpr double firstCredit = 2.0;

} // namespace

void RetryBudget::noteRequest(const CustomerId &customer, const ServiceId &service)
{
    const auto [entry, isNew] = m_credits.try_emplace({ customer, service }, firstCredit);
    entry->second = std::min(mostCredit, entry->second + creditPerRequest);
}

bool RetryBudget::tryRetry(const CustomerId &customer, const ServiceId &service)
{
    const auto found = m_credits.find({ customer, service });
    if (found == m_credits.end() || found->second < 1.0) {
        return false;
    }
    found->second -= 1.0;
    return true;
}

} // namespace Sapphire
