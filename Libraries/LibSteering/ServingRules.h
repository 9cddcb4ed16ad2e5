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

/// A service that takes a part of a route's requests.
struct RouteService
{
    ServiceId service;
    double weight { 1 };
};

/// What is done with the requests of one host whose paths begin with one prefix.
struct Route
{
    RouteId id;
    std::string host; ///< In lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with '/'.
    bool isIdempotent { false };
    Milliseconds timeout { 0 }; ///< The longest that a caller is kept waiting.
    Milliseconds targetLatency { 0 }; ///< An answer within this time is on time.
    int priority { 0 }; ///< 0 is the most urgent.
    std::vector<RouteService> services;
    int mostAttempts { 1 }; ///< Targets to which one request may be sent.
    bool isOpenToAll { false }; ///< Needs no key.
    bool hasObjectAffinity { false }; ///< Targets work faster on objects that they handled lately.
    std::vector<RegionId> allowedRegions; ///< Empty if it may be served anywhere.
};

struct ServiceRules
{
    ServiceId id;
    std::string healthPath;
    int connectionLimit { 0 }; ///< Connections that a target takes from all callers together.
    Milliseconds coldTime { 0 }; ///< For which a target stays cold after it started.
    double coldRequestsPerSecond { 0 }; ///< That a cold target can take.
};

struct CustomerRules
{
    CustomerId id;
    std::vector<std::string> keyHashes; ///< SHA-256 in hexadecimal digits.
    std::optional<int> priority; ///< Goes before the route's if present.
    double ratePerSecond { 0 }; ///< Over all VMs together; 0 is no limit.
    double burst { 0 };
    std::vector<RegionId> allowedRegions; ///< Empty if it may be served anywhere.
};

/// Limits on what a caller may send.
struct CallerLimits
{
    std::size_t headBytes { 16'384 };
    std::uint64_t bodyBytes { 64ULL * 1024 * 1024 };
    Milliseconds headTimeout { 3'000 }; ///< From the first byte of a head to its last.
    Milliseconds idleTimeout { 15'000 }; ///< Between two requests of a connection.
};

/// One version of the operator's rules. Never changes once it is in use.
class ServingRules : public RefCounted<ServingRules>
{
public:
    struct Content
    {
        ConfigurationVersion version;
        std::vector<Route> routes;
        std::vector<ServiceRules> services;
        std::vector<CustomerRules> customers;
        CallerLimits limits;
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
    /// Whether requests need keys at all.
    bool hasCustomers() const
    {
        return !m_content.customers.empty();
    }

    /// Returns the route with the longest prefix of the path, or null. The host may carry a port.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the holder of a key, or null.
    const CustomerRules *findCustomer(std::string_view key) const;
    /// Returns null for an unknown service.
    const ServiceRules *findService(const ServiceId &service) const;

private:
    Content m_content;
    /// For each host, the positions of its routes by prefix.
    std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_customersByKeyHash;
    std::unordered_map<ServiceId, std::size_t> m_servicesById;
};

/// Erases the entries of routes that the rules don't have any more.
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
