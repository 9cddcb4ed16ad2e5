#pragma once

#include <LibSteering/CustomerQuota.h>

#include <unordered_map>

namespace Sapphire {

/// This VM's part of all customers' quotas.
class CustomerQuotas
{
public:
    CustomerQuotas(VmId own, QuotaSettings settings);

    /// Applies the rules that limit customers. Quotas of customers that are not in them any more are dropped.
    void applyRules(const RefPointer<const ServingRules> &rules, TimePoint now);
    /// Sets the VMs among which quotas are divided.
    void applyVms(const VmsByRegion &vms, TimePoint now);
    void configure(const QuotaSettings &settings, TimePoint now);
    /// Whether the VMs among which quotas are divided are known. Until then limited customers get nothing.
    bool hasVms() const
    {
        return !m_vms.isEmpty();
    }

    /// Returns null for an unknown customer.
    CustomerQuota *find(const CustomerId &customer);
    /// Returns the customers for which tokens should be borrowed now.
    std::vector<CustomerId> shortOfTokens(TimePoint now);

private:
    void reconfigure(TimePoint now);

    VmId m_own;
    QuotaSettings m_settings;
    RefPointer<const ServingRules> m_rules;
    VmsByRegion m_vms;
    std::unordered_map<CustomerId, CustomerQuota> m_quotas;
};

} // namespace Sapphire
