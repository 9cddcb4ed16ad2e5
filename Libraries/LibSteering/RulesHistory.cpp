#include <LibSteering/RulesHistory.h>

namespace Sapphire {

bool RulesHistory::apply(const RefPointer<const ServingRules> &rules, const VmId &origin)
{
    if (m_current && rules->version() <= m_current->version()) {
        return false;
    }
    m_previous = m_current;
    m_current = rules;
    m_origin = origin;
    if (!m_first) {
        m_first = rules;
    }
    return true;
}

template<typename Predicate>
ConfigurationVersion RulesHistory::earlierVersion(Predicate isAllowedBy) const
{
    for (const RefPointer<const ServingRules> &rules : { m_previous, m_first }) {
        if (rules && rules.get() != m_current.get() && isAllowedBy(*rules)) {
            return rules->version();
        }
    }
    return {};
}

ConfigurationVersion RulesHistory::earlierVersionWithKey(std::string_view key) const
{
    return earlierVersion([&](const ServingRules &rules) {
        return rules.findCustomer(key) != nullptr;
    });
}

ConfigurationVersion RulesHistory::earlierVersionWithRoute(std::string_view host, std::string_view path) const
{
    return earlierVersion([&](const ServingRules &rules) {
        return rules.findRoute(host, path) != nullptr;
    });
}

} // namespace Sapphire
