#include <LibFleet/LogEntryCodec.h>

#include <LibFleet/WireCodec.h>

namespace Sapphire {

namespace {

/// Limit of nested batches, which are of no use; a malformed message could exhaust the stack otherwise.
constexpr int deepestBatch = 2;

void encodeBody(const CommandBody &body, wire::CommandBody &message);

/// Visitor that writes a command into the field of the message for its kind.
struct BodyEncoder
{
    wire::CommandBody &message;

    void operator()(const SetRegion &command) const
    {
        wire::SetRegion &part = *message.mutable_set_region();
        part.set_region(command.region.text());
        for (const RegionId &fallback : command.fallbacks) {
            part.add_fallbacks(fallback.text());
        }
    }
    void operator()(const SetCustomer &command) const
    {
        wire::SetCustomer &part = *message.mutable_set_customer();
        part.set_customer(command.customer.text());
        part.set_rate_per_second(command.ratePerSecond);
        part.set_burst(command.burst);
    }
    void operator()(const GrantKey &command) const
    {
        wire::GrantKey &part = *message.mutable_grant_key();
        part.set_key(command.key.text());
        part.set_customer(command.customer.text());
        part.set_secret_hash(command.secretHash);
    }
    void operator()(const WithdrawKey &command) const
    {
        message.set_withdraw_key(command.key.text());
    }
    void operator()(const SetService &command) const
    {
        wire::SetService &part = *message.mutable_set_service();
        part.set_service(command.service.id.text());
        part.set_is_open_to_all(command.service.isOpenToAll);
        part.set_default_timeout(command.service.defaultTimeout.count());
        part.set_shift_cap(command.service.shiftCap.value());
        part.set_shift_interval(command.service.shiftInterval.count());
        part.set_region_limit(command.service.regionLimit.value());
    }
    void operator()(const SetTarget &command) const
    {
        wire::SetTarget &part = *message.mutable_set_target();
        part.set_target(command.target.id.text());
        part.set_service(command.target.service.text());
        part.set_region(command.target.locality.region.text());
        part.set_zone(command.target.locality.availabilityZone.text());
        part.set_address(command.target.address);
        part.set_slots(command.target.slots);
        part.set_connection_limit(command.target.connectionLimit);
        part.set_is_drained(command.target.isDrained);
    }
    void operator()(const RemoveTarget &command) const
    {
        message.set_remove_target(command.target.text());
    }
    void operator()(const DrainTarget &command) const
    {
        wire::DrainTarget &part = *message.mutable_drain_target();
        part.set_target(command.target.text());
        part.set_is_drained(command.isDrained);
    }
    void operator()(const SetClientBlock &command) const
    {
        wire::SetClientBlock &part = *message.mutable_set_client_block();
        part.set_prefix(command.prefix);
        part.set_region(command.region.text());
    }
    void operator()(const RetireVm &command) const
    {
        encode(command.process, *message.mutable_retire_vm());
    }
    void operator()(const CommandBatch &batch) const
    {
        wire::CommandBatch &part = *message.mutable_batch();
        for (const CommandBody &command : batch.commands) {
            encodeBody(command, *part.add_commands());
        }
    }
};

void encodeBody(const CommandBody &body, wire::CommandBody &message)
{
    std::visit(BodyEncoder { message }, body);
}

SetRegion decodePart(const wire::SetRegion &message)
{
    SetRegion command { RegionId(message.region()), {} };
    for (const std::string &fallback : message.fallbacks()) {
        command.fallbacks.emplace_back(fallback);
    }
    return command;
}

SetService decodePart(const wire::SetService &message)
{
    SetService command;
    command.service.id = ServiceId(message.service());
    command.service.isOpenToAll = message.is_open_to_all();
    command.service.defaultTimeout = Milliseconds(message.default_timeout());
    command.service.shiftCap = Share(message.shift_cap());
    command.service.shiftInterval = Milliseconds(message.shift_interval());
    command.service.regionLimit = Share(message.region_limit());
    return command;
}

SetTarget decodePart(const wire::SetTarget &message)
{
    SetTarget command;
    command.target.id = TargetId(message.target());
    command.target.service = ServiceId(message.service());
    command.target.locality = { RegionId(message.region()), AvailabilityZoneId(message.zone()) };
    command.target.address = message.address();
    command.target.slots = message.slots();
    command.target.connectionLimit = message.connection_limit();
    command.target.isDrained = message.is_drained();
    return command;
}

Result<CommandBody> decodeBody(const wire::CommandBody &message, int depth)
{
    switch (message.body_case()) {
    case wire::CommandBody::kSetRegion:
        return CommandBody(decodePart(message.set_region()));
    case wire::CommandBody::kSetCustomer:
        return CommandBody(SetCustomer { CustomerId(message.set_customer().customer()),
                                         message.set_customer().rate_per_second(), message.set_customer().burst() });
    case wire::CommandBody::kGrantKey:
        return CommandBody(GrantKey { KeyId(message.grant_key().key()), CustomerId(message.grant_key().customer()),
                                      message.grant_key().secret_hash() });
    case wire::CommandBody::kWithdrawKey:
        return CommandBody(WithdrawKey { KeyId(message.withdraw_key()) });
    case wire::CommandBody::kSetService:
        return CommandBody(decodePart(message.set_service()));
    case wire::CommandBody::kSetTarget:
        return CommandBody(decodePart(message.set_target()));
    case wire::CommandBody::kRemoveTarget:
        return CommandBody(RemoveTarget { TargetId(message.remove_target()) });
    case wire::CommandBody::kDrainTarget:
        return CommandBody(
            DrainTarget { TargetId(message.drain_target().target()), message.drain_target().is_drained() });
    case wire::CommandBody::kSetClientBlock:
        return CommandBody(
            SetClientBlock { message.set_client_block().prefix(), RegionId(message.set_client_block().region()) });
    case wire::CommandBody::kRetireVm:
        return CommandBody(RetireVm { decode(message.retire_vm()) });
    case wire::CommandBody::kBatch:
        break;
    case wire::CommandBody::BODY_NOT_SET:
        return fail(ErrorCode::InvalidArgument, "a log entry has no command or a command of an unknown kind");
    }
    if (depth >= deepestBatch) {
        return fail(ErrorCode::InvalidArgument, "a command batch is nested too deeply");
    }
    CommandBatch batch;
    for (const wire::CommandBody &part : message.batch().commands()) {
        BOOST_LEAF_AUTO(command, decodeBody(part, depth + 1));
        batch.commands.push_back(std::move(command));
    }
    return CommandBody(std::move(batch));
}

} // namespace

void encode(const LogEntry &entry, wire::LogEntry &message)
{
    message.set_version(entry.version.value());
    message.set_command_id(entry.command.id.text());
    message.set_operator_id(entry.command.operatorId.text());
    if (entry.command.seen) {
        message.set_seen_version(entry.command.seen->value());
    }
    message.set_wall_time_microseconds(entry.command.wallTime.count());
    encodeBody(entry.command.body, *message.mutable_body());
}

Result<LogEntry> decode(const wire::LogEntry &message)
{
    LogEntry entry;
    entry.version = ConfigurationVersion(message.version());
    entry.command.id = CommandId(message.command_id());
    entry.command.operatorId = OperatorId(message.operator_id());
    if (message.has_seen_version()) {
        entry.command.seen = ConfigurationVersion(message.seen_version());
    }
    entry.command.wallTime = Microseconds(message.wall_time_microseconds());
    BOOST_LEAF_ASSIGN(entry.command.body, decodeBody(message.body(), 0));
    return entry;
}

} // namespace Sapphire
