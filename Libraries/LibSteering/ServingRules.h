#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/RefCounted.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Sapphire {

using RouteId = StrongId<struct RouteTag>;

/// A service that gets a share of a route's requests.
struct RouteService
{
    ServiceId service;
    double weight { 1 };
};

/// How requests for one host and path prefix are handled.
struct Route
{
    RouteId id;
    std::string host; ///< In lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with '/'.
    bool isIdempotent { false };
    Milliseconds timeout { 0 }; ///< The longest time that a caller waits for its answer.
    Milliseconds targetLatency { 0 }; ///< An answer that takes longer is late.
    int priority { 0 }; ///< 0 is the most urgent.
    std::vector<RouteService> services;
    int mostAttempts { 1 }; ///< How many targets one request may be sent to, retries included.
    bool isOpenToAll { false }; ///< Requests need no key.
    bool hasObjectAffinity { false }; ///< Targets are faster on objects that they handled recently.
    std::vector<RegionId> allowedRegions; ///< Regions that may run its requests; empty for all.
};

struct ServiceRules
{
    ServiceId id;
    std::string healthPath;
    int connectionLimit { 0 }; ///< Most connections that a target accepts from all VMs together.
    Milliseconds coldTime { 0 }; ///< How long a target stays cold after its start.
    double coldRequestsPerSecond { 0 }; ///< Most that a cold target can take.
};

struct CustomerRules
{
    CustomerId id;
    std::vector<std::string> keyHashes; ///< SHA-256 in hexadecimal digits.
    std::optional<int> priority; ///< Overrides the route's priority if present.
    double ratePerSecond { 0 }; ///< Of all VMs together; 0 means no limit.
    double burst { 0 };
    std::vector<RegionId> allowedRegions; ///< Regions that may run its requests; empty for all.
};

/// Limits on the size and timing of callers' requests.
struct CallerLimits
{
    std::size_t headBytes { 16'384 };
    std::uint64_t bodyBytes { 64ULL * 1024 * 1024 };
    Milliseconds headTimeout { 3'000 }; ///< From the first to the last byte of a request head.
    Milliseconds idleTimeout { 15'000 }; ///< Between two requests on a connection.
    bool areSizesUnreadable { false }; ///< The defaults stand in for a limit of bytes that could not be read.
};

/// A route of the configuration that could not be read. If host and path prefix are known, its requests are neither
/// taken for wrong nor handled by a route with a shorter prefix.
struct UnreadableRoute
{
    std::string host; ///< Empty if host or path prefix could not be read.
    std::string pathPrefix;
};

/// One version of the operator's rules. Immutable once it is in use.
class ServingRules : public RefCounted<ServingRules>
{
public:
    struct Content
    {
        ConfigurationVersion version;
        std::vector<Route> routes;
        std::vector<ServiceRules> services;
        bool hasCustomerList { false }; ///< Whether the configuration has a list of customers, be it empty.
        std::vector<CustomerRules> customers;
        CallerLimits limits;
        std::vector<UnreadableRoute> unreadableRoutes;
        std::size_t unreadableCustomers { 0 }; ///< Customers of the configuration that could not be read.
    };

    explicit ServingRules(Content content);

    ConfigurationVersion version() const
    {
        return m_content.version;
    }
    const CallerLimits &limits() const
    {
        return m_content.limits;
    }
    const std::vector<Route> &routes() const
    {
        return m_content.routes;
    }
    const std::vector<ServiceRules> &services() const
    {
        return m_content.services;
    }
    const std::vector<CustomerRules> &customers() const
    {
        return m_content.customers;
    }
    std::size_t keyCount() const
    {
        return m_customersByKeyHash.size();
    }
    /// How many routes and customers of the configuration these rules lack, because they could not be read.
    std::size_t unreadableEntries() const
    {
        return m_content.unreadableRoutes.size() + m_content.unreadableCustomers;
    }
    /// Returns whether the configuration has a list of customers, so that requests need a key. An empty one accepts no
    /// key.
    bool areKeysRequired() const
    {
        return m_content.hasCustomerList || !m_content.customers.empty() || areKeysUncertain();
    }
    /// Whether an unknown key may belong to a customer that could not be read.
    bool areKeysUncertain() const
    {
        return m_content.unreadableCustomers > 0;
    }
    /// Whether a request without a route may belong to a route that could not be read.
    bool isRouteUncertain(std::string_view host, std::string_view path) const;

    /// Returns the route of the host with the longest matching path prefix, or null if there is none or it could not be
    /// read. The host may include a port, which is ignored.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the customer to whom a key belongs, or null.
    const CustomerRules *findCustomer(std::string_view key) const;
    /// Returns null for an unknown service.
    const ServiceRules *findService(const ServiceId &service) const;

private:
    /// Returns the index of the route of the host with the longest matching path prefix, `unreadableIndex` if it could
    /// not be read, or nothing.
    std::optional<std::size_t> findRouteIndex(std::string_view host, std::string_view path) const;

    Content m_content;
    /// By host and path prefix: the index of the route, or `unreadableIndex`.
    std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_customersByKeyHash;
    std::unordered_map<ServiceId, std::size_t> m_servicesById;
};

/// Erases the entries of routes that the rules no longer have.
template<typename Value>
void eraseGoneRoutes(std::unordered_map<RouteId, Value> &byRoute, const ServingRules &rules)
{
    std::unordered_set<RouteId> present;
    for (const Route &route : rules.routes()) {
        present.insert(route.id);
    }
    std::erase_if(byRoute, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
}

} // namespace Sapphire
