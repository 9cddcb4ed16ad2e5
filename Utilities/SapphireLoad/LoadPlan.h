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
    double rate { 0 }; ///< The configured limit, to count refusals of requests inside it.
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

/// What a load run sends: who calls which routes from which origins, and for how long.
struct LoadPlan
{
    std::vector<LoadCustomer> customers;
    std::vector<LoadRoute> routes;
    std::vector<LoadOrigin> origins;
    Milliseconds duration { 10'000 };
    std::uint64_t seed { 1 };
    int workers { 64 };
    /// Whether callers use look-ups and cache them for their time to live. If not, each request goes to a random VM of
    /// a random origin.
    bool usesLookUps { true };
    /// Whether POST and PATCH requests have ids with a prefix that a look-up issued and that binds them to a VM, or ids
    /// of the caller's own.
    bool usesIssuedIds { true };
    /// Address to connect to, by a VM's own address, where addresses are translated.
    std::map<std::string, std::string> addressMap;

    /// Fails with InvalidArgument and all faults found.
    [[nodiscard]] static Result<LoadPlan> parse(const std::string &text);
};

} // namespace Sapphire
