#include <LibSteering/CustomerQuotas.h>

#include <unordered_set>

namespace Sapphire {

CustomerQuotas::CustomerQuotas(VmId own, QuotaSettings settings) : m_own(std::move(own)), m_settings(settings)
{
}

void CustomerQuotas::applyRules(const RefPointer<const ServingRules> &rules, TimePoint now)
{
    m_rules = rules;
    std::unordered_set<CustomerId> present;
    for (const CustomerRules &customer : rules->customers()) {
        present.insert(customer.id);
        m_quotas.try_emplace(customer.id, now);
    }
    std::erase_if(m_quotas, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
    reconfigure(now);
}

void CustomerQuotas::applyVms(const VmsByRegion &vms, TimePoint now)
{
    m_vms = vms;
    reconfigure(now);
}

void CustomerQuotas::configure(const QuotaSettings &settings, TimePoint now)
{
    m_settings = settings;
    reconfigure(now);
}

void CustomerQuotas::reconfigure(TimePoint now)
{
    if (!m_rules) {
        return;
    }
    // While the list of VMs is unknown, no VM holds a share of a limited customer's quota.
    for (const CustomerRules &customer : m_rules->customers()) {
        m_quotas.at(customer.id).configure(quotaTerms(customer, m_settings, m_vms), m_own, now);
    }
}

CustomerQuota *CustomerQuotas::find(const CustomerId &customer)
{
    const auto found = m_quotas.find(customer);
    return found == m_quotas.end() ? nullptr : &found->second;
}

std::vector<CustomerId> CustomerQuotas::shortOfTokens(TimePoint now)
{
    std::vector<CustomerId> customers;
    for (auto &[id, quota] : m_quotas) {
        if (quota.wanted(now) > Tokens(0)) {
            customers.push_back(id);
        }
    }
    return customers;
}

} // namespace Sapphire
