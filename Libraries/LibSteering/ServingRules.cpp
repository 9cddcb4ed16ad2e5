#include <LibSteering/ServingRules.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <cctype>

namespace Sapphire {

namespace {

// In place of the index of a route that could not be read.
constexpr auto unreadableIndex = static_cast<std::size_t>(-1);

std::string hostWithoutPort(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return name;
}

} // namespace

ServingRules::ServingRules(Content content) : m_content(std::move(content))
{
    for (std::size_t i = 0; i < m_content.routes.size(); ++i) {
        const Route &route = m_content.routes[i];
        m_routesByHost[hostWithoutPort(route.host)].emplace(route.pathPrefix, i);
    }
    for (const UnreadableRoute &route : m_content.unreadableRoutes) {
        if (!route.host.empty()) {
            m_routesByHost[hostWithoutPort(route.host)].emplace(route.pathPrefix, unreadableIndex);
        }
    }
    for (std::size_t i = 0; i < m_content.customers.size(); ++i) {
        for (const std::string &keyHash : m_content.customers[i].keyHashes) {
            m_customersByKeyHash.emplace(keyHash, i);
        }
    }
    for (std::size_t i = 0; i < m_content.services.size(); ++i) {
        m_servicesById.emplace(m_content.services[i].id, i);
    }
}

const Route *ServingRules::findRoute(std::string_view host, std::string_view path) const
{
    const std::optional<std::size_t> index = findRouteIndex(host, path);
    return index && *index != unreadableIndex ? &m_content.routes[*index] : nullptr;
}

bool ServingRules::isRouteUncertain(std::string_view host, std::string_view path) const
{
    const bool isAnyUncertain = std::any_of(m_content.unreadableRoutes.begin(), m_content.unreadableRoutes.end(),
                                            [](const UnreadableRoute &route) {
                                                return route.host.empty();
                                            });
    return isAnyUncertain || findRouteIndex(host, path) == unreadableIndex;
}

std::optional<std::size_t> ServingRules::findRouteIndex(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(hostWithoutPort(host));
    if (routes == m_routesByHost.end()) {
        return std::nullopt;
    }
    // Prefixes end with a slash, so only those parts of the path that end at one of its slashes can match.
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return std::nullopt;
}

const CustomerRules *ServingRules::findCustomer(std::string_view key) const
{
    const auto found = m_customersByKeyHash.find(sha256Hex(key));
    return found == m_customersByKeyHash.end() ? nullptr : &m_content.customers[found->second];
}

const ServiceRules *ServingRules::findService(const ServiceId &service) const
{
    const auto found = m_servicesById.find(service);
    return found == m_servicesById.end() ? nullptr : &m_content.services[found->second];
}

} // namespace Sapphire
