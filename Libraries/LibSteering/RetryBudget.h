#pragma once

#include <LibCore/Ids.h>

#include <map>
#include <utility>

namespace Sapphire {

/// Limits retries of a customer on a service to a part of its requests, so that retries can't multiply an overload.
class RetryBudget
{
public:
    /// Accounts for a first attempt.
    void noteRequest(const CustomerId &customer, const ServiceId &service);
    /// Returns whether a retry may be made, and accounts for it.
    bool tryRetry(const CustomerId &customer, const ServiceId &service);

private:
    std::map<std::pair<CustomerId, ServiceId>, double> m_credits;
};

} // namespace Sapphire
