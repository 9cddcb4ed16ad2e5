#pragma once

#include <LibConfiguration/SharedMap.h>
#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// Which change last touched an object, and who made it.
struct ChangeMark
{
    ConfigurationVersion version;
    OperatorId changedBy;
};

struct CustomerRecord
{
    CustomerId id;
    double ratePerSecond { 0 }; ///< Requests a second over all VMs together.
    double burst { 0 }; ///< Requests that may exceed the rate at once.
    ChangeMark mark;
};

struct KeyRecord
{
    KeyId id;
    CustomerId customer;
    std::string secretHash; ///< SHA-256 of the secret in hexadecimal digits.
    bool isWithdrawn { false }; ///< Never becomes false again.
    ChangeMark mark;
};

struct ServiceRecord
{
    ServiceId id;
    bool isOpenToAll { false };
    Milliseconds defaultTimeout { 10'000 }; ///< For requests that state none.
    Share shiftCap { 200'000 }; ///< The part of a flow that may move to other regions in one shift interval.
    Milliseconds shiftInterval { 5'000 };
    Share regionLimit { 850'000 }; ///< The part of a region's slots that forwarded requests may fill.
    ChangeMark mark;
};

struct TargetRecord
{
    TargetId id;
    ServiceId service;
    Locality place;
    std::string address; ///< "ip:port".
    int slots { 1 }; ///< Requests that it runs at once.
    int connectionLimit { 800 }; ///< Connections that it takes from all VMs together.
    bool isDrained { false }; ///< By an operator.
    ChangeMark mark;
};

/// A range of client addresses and the region that is nearest to it.
struct ClientBlockRecord
{
    std::string prefix; ///< "ip/bits", IPv4.
    RegionId region;
    ChangeMark mark;
};

struct RegionRecord
{
    RegionId id;
    std::vector<RegionId> fallbacks; ///< Other regions, nearest first.
    ChangeMark mark;
    /// A VM that has not followed this version yet counts a majority of fewer regions.
    ConfigurationVersion addedIn {};
};

/// The configuration of a deployment after a number of changes. A plain value: copies are independent.
struct Configuration
{
    ConfigurationVersion version;
    std::map<RegionId, RegionRecord> regions;
    std::map<CustomerId, CustomerRecord> customers;
    std::map<KeyId, KeyRecord> keys;
    std::map<ServiceId, ServiceRecord> services;
    std::map<TargetId, TargetRecord> targets;
    SharedMap<std::string, ClientBlockRecord> clientBlocks;
    /// Incarnations up to and including this one are retired and admit nothing.
    std::map<VmId, Incarnation> retired;
    /// Who removed a target, so that a command that saw the target before loses against the removal.
    std::map<TargetId, ChangeMark> removedTargets;
    /// The ids of the last commands that took effect, by version; a command that is sent again is recognised by them.
    SharedMap<ConfigurationVersion, CommandId> recentCommands;

    bool isRetired(const VmIncarnation &process) const
    {
        const auto found = retired.find(process.vm);
        return found != retired.end() && process.incarnation <= found->second;
    }
};

} // namespace Sapphire
