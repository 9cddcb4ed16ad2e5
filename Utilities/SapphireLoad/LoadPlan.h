#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <map>
#include <string>
#include <vector>

namespace Sapphire {

struct LoadCustomer
{
    std::string name;
    std::string key; ///< "KEYID.SECRET"
    double requestsPerSecond { 0 };
    double rate { 0 }; ///< As configured, for the count of refusals within the rate.
    double burst { 0 };
};

struct LoadRoute
{
    std::string service;
    std::string method { "GET" };
    std::string path { "/" };
    double share { 1 }; ///< Of all requests, relative to the other routes.
    Milliseconds timeout { 5'000 };
};

/// Callers near one region.
struct LoadOrigin
{
    std::string region;
    std::vector<std::string> vms; ///< "ip:port" of VMs to ask for a look-up.
    double share { 1 };
};

struct LoadPlan
{
    std::vector<LoadCustomer> customers;
    std::vector<LoadRoute> routes;
    std::vector<LoadOrigin> origins;
    Milliseconds duration { 10'000 };
    std::uint64_t seed { 1 };
    int workers { 64 };
    /// Whether callers use look-ups and cache them for their time to live; else they spread over all VMs of all
    /// origins.
    bool usesLookUps { true };
    /// Whether requests that change something take ids bound to a VM by a look-up, or ids of their own.
    bool usesIssuedIds { true };
    /// Address to use instead of a VM's own, where addresses are translated.
    std::map<std::string, std::string> addressMap;

    /// Fails with InvalidArgument and all faults found.
    [[nodiscard]] static Result<LoadPlan> parse(const std::string &text);
};

} // namespace Sapphire
