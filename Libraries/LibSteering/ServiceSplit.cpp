#include <LibSteering/ServiceSplit.h>

namespace Sapphire {

const ServiceId &ServiceSplit::choose(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto &credits = m_credits[route.id];
    const RouteService *chosen = nullptr;
    double sum = 0;
    for (const RouteService &part : route.services) {
        credits[part.service] += part.weight;
        sum += part.weight;
        if (part.weight > 0 && (chosen == nullptr || credits[part.service] > credits[chosen->service])) {
            chosen = &part;
        }
    }
    if (chosen == nullptr) {
        return route.services.front().service;
    }
    credits[chosen->service] -= sum;
    return chosen->service;
}

void ServiceSplit::retain(const ServingRules &rules)
{
    eraseGoneRoutes(m_credits, rules);
}

} // namespace Sapphire
