#pragma once

#include <LibSteering/ServingRules.h>

#include <unordered_map>

namespace Sapphire {

/// Divides the requests of a route among its services by weight, for routes that are migrated gradually from one
/// service to another. Uses smooth weighted round robin: after any number of requests, each service is within one
/// request of its share.
class ServiceSplit
{
public:
    const ServiceId &choose(const Route &route);
    /// Drops the state of routes that the rules no longer have.
    void retain(const ServingRules &rules);

private:
    std::unordered_map<RouteId, std::unordered_map<ServiceId, double>> m_credits;
};

} // namespace Sapphire
