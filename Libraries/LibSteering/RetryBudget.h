#pragma once

#include <LibCore/Ids.h>

#include <map>
#include <utility>

namespace Sapphire {

/// Limits a customer's retries on a service to a fraction of its requests, so that retries can't multiply an overload.
class RetryBudget
{
public:
    /// Counts a first attempt.
    void noteRequest(const CustomerId &customer, const ServiceId &service);
    /// Returns whether a retry may be made, and counts it.
    bool tryRetry(const CustomerId &customer, const ServiceId &service);

private:
    std::map<std::pair<CustomerId, ServiceId>, double> m_credits;
};

} // namespace Sapphire
