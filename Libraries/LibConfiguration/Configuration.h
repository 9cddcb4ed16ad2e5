#pragma once

#include <LibConfiguration/CopyOnWriteMap.h>
#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// The version that last changed an object, and the operator who made the change.
struct LastChange
{
    ConfigurationVersion version;
    OperatorId changedBy;
};

struct CustomerRecord
{
    CustomerId id;
    double ratePerSecond { 0 }; ///< Requests a second over all VMs together.
    double burst { 0 }; ///< Requests that may exceed the rate in one burst.
    LastChange lastChange;
};

struct KeyRecord
{
    KeyId id;
    CustomerId customer;
    std::string secretHash; ///< SHA-256 of the secret in hexadecimal digits.
    bool isWithdrawn { false }; ///< Once set, it stays set.
    LastChange lastChange;
};

struct ServiceRecord
{
    ServiceId id;
    bool isOpenToAll { false };
    Milliseconds defaultTimeout { 10'000 }; ///< For requests that don't set a timeout.
    Share shiftCap { 200'000 }; ///< The part of a region's traffic that may shift in one shift interval.
    Milliseconds shiftInterval { 5'000 };
    Share regionLimit { 850'000 }; ///< The part of a region's slots that requests forwarded from other regions may use.
    LastChange lastChange;
};

struct TargetRecord
{
    TargetId id;
    ServiceId service;
    Locality locality;
    std::string address; ///< "ip:port".
    int slots { 1 }; ///< Requests that it runs concurrently.
    int connectionLimit { 800 }; ///< Connections that it accepts from all VMs together.
    bool isDrained { false }; ///< Drained by an operator: gets no new requests.
    LastChange lastChange;
};

/// A range of client addresses and the region nearest to it.
struct ClientBlockRecord
{
    std::string prefix; ///< "ip/bits", IPv4.
    RegionId region;
    LastChange lastChange;
};

struct RegionRecord
{
    RegionId id;
    std::vector<RegionId> fallbacks; ///< Other regions, nearest first.
    LastChange lastChange;
    /// The version that added the region. A VM with an older version doesn't count the region when it computes a
    /// majority.
    ConfigurationVersion addedIn {};
};

/// The configuration of a deployment at one version. A plain value: copies are independent.
struct Configuration
{
    ConfigurationVersion version;
    std::map<RegionId, RegionRecord> regions;
    std::map<CustomerId, CustomerRecord> customers;
    std::map<KeyId, KeyRecord> keys;
    std::map<ServiceId, ServiceRecord> services;
    std::map<TargetId, TargetRecord> targets;
    CopyOnWriteMap<std::string, ClientBlockRecord> clientBlocks;
    /// The highest retired incarnation of each VM. It and all lower ones must not admit requests.
    std::map<VmId, Incarnation> retired;
    /// The removal of each removed target, so that a command based on a version before the removal is rejected.
    std::map<TargetId, LastChange> removedTargets;
    /// The ids of the last commands that took effect, by version, to recognise resent commands.
    CopyOnWriteMap<ConfigurationVersion, CommandId> recentCommands;

    bool isRetired(const VmIncarnation &process) const
    {
        const auto found = retired.find(process.vm);
        return found != retired.end() && process.incarnation <= found->second;
    }
};

} // namespace Sapphire
