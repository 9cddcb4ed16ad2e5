#pragma once

#include <LibConfiguration/Configuration.h>

#include <variant>

namespace Sapphire {

struct SetRegion
{
    RegionId region;
    std::vector<RegionId> fallbacks;
};

struct SetCustomer
{
    CustomerId customer;
    double ratePerSecond { 0 };
    double burst { 0 };
};

struct GrantKey
{
    KeyId key;
    CustomerId customer;
    std::string secretHash;
};

struct WithdrawKey
{
    KeyId key;
};

struct SetService
{
    ServiceRecord service; ///< Its `lastChange` is ignored.
};

struct SetTarget
{
    TargetRecord target; ///< Its `lastChange` is ignored.
};

struct RemoveTarget
{
    TargetId target;
};

struct DrainTarget
{
    TargetId target;
    bool isDrained { true };
};

struct SetClientBlock
{
    std::string prefix;
    RegionId region;
};

struct RetireVm
{
    VmIncarnation process;
};

/// Several commands that are applied as one change, such as a deployment's first configuration.
struct CommandBatch;

using CommandBody = std::variant<SetRegion, SetCustomer, GrantKey, WithdrawKey, SetService, SetTarget, RemoveTarget,
                                 DrainTarget, SetClientBlock, RetireVm, CommandBatch>;

struct CommandBatch
{
    std::vector<CommandBody> commands;
};

/// A change of the configuration, as it is stored in the log.
struct Command
{
    CommandId id; ///< Chosen by the sender. Makes resending safe: a command with the same id takes effect once.
    OperatorId operatorId;
    /// The version on which the operator based the command; it is rejected if the same object changed after that.
    std::optional<ConfigurationVersion> seen {};
    Microseconds wallTime {}; ///< Since 1970-01-01 UTC; informative only.
    CommandBody body;
};

struct LogEntry
{
    ConfigurationVersion version;
    Command command;
};

} // namespace Sapphire
