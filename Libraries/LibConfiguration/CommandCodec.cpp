#include <LibConfiguration/CommandCodec.h>

#include <LibConfiguration/RecordJson.h>

#include <Poco/JSON/Stringifier.h>

#include <array>
#include <sstream>

namespace Sapphire {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr toJson(const CommandBody &body);

void addMembers(Object &object, const SetRegion &set)
{
    object.set("kind", "set-region");
    object.set("region", set.region.text());
    object.set("fallbacks", RecordJson::regionsToJson(set.fallbacks));
}

void addMembers(Object &object, const SetCustomer &set)
{
    object.set("kind", "set-customer");
    object.set("customer", set.customer.text());
    object.set("ratePerSecond", set.ratePerSecond);
    object.set("burst", set.burst);
}

void addMembers(Object &object, const GrantKey &grant)
{
    object.set("kind", "grant-key");
    object.set("key", grant.key.text());
    object.set("customer", grant.customer.text());
    object.set("secretHash", grant.secretHash);
}

void addMembers(Object &object, const WithdrawKey &withdraw)
{
    object.set("kind", "withdraw-key");
    object.set("key", withdraw.key.text());
}

void addMembers(Object &object, const SetService &set)
{
    object.set("kind", "set-service");
    RecordJson::addService(object, set.service);
}

void addMembers(Object &object, const SetTarget &set)
{
    object.set("kind", "set-target");
    RecordJson::addTarget(object, set.target);
}

void addMembers(Object &object, const RemoveTarget &remove)
{
    object.set("kind", "remove-target");
    object.set("target", remove.target.text());
}

void addMembers(Object &object, const DrainTarget &drain)
{
    object.set("kind", "drain-target");
    object.set("target", drain.target.text());
    object.set("drained", drain.isDrained);
}

void addMembers(Object &object, const SetClientBlock &set)
{
    object.set("kind", "set-client-block");
    object.set("prefix", set.prefix);
    object.set("region", set.region.text());
}

void addMembers(Object &object, const RetireVm &retire)
{
    object.set("kind", "retire-vm");
    object.set("vm", retire.process.vm.text());
    object.set("incarnation", std::to_string(retire.process.incarnation.value()));
}

void addMembers(Object &object, const CommandBatch &batch)
{
    Array::Ptr commands = new Array;
    for (const CommandBody &body : batch.commands) {
        commands->add(toJson(body));
    }
    object.set("kind", "batch");
    object.set("commands", commands);
}

Object::Ptr toJson(const CommandBody &body)
{
    Object::Ptr object = new Object;
    std::visit(
        [&object](const auto &alternative) {
            addMembers(*object, alternative);
        },
        body);
    return object;
}

CommandBody setRegionFrom(SettingsReader &reader)
{
    return SetRegion { RecordJson::idFrom<RegionId>(reader, "region"), RecordJson::regionsFrom(reader, "fallbacks") };
}

CommandBody setCustomerFrom(SettingsReader &reader)
{
    return SetCustomer { RecordJson::idFrom<CustomerId>(reader, "customer"),
                         RecordJson::numberFrom(reader, "ratePerSecond"), RecordJson::numberFrom(reader, "burst") };
}

CommandBody grantKeyFrom(SettingsReader &reader)
{
    return GrantKey { RecordJson::idFrom<KeyId>(reader, "key"), RecordJson::idFrom<CustomerId>(reader, "customer"),
                      reader.requiredText("secretHash") };
}

CommandBody withdrawKeyFrom(SettingsReader &reader)
{
    return WithdrawKey { RecordJson::idFrom<KeyId>(reader, "key") };
}

CommandBody setServiceFrom(SettingsReader &reader)
{
    return SetService { RecordJson::serviceFrom(reader) };
}

CommandBody setTargetFrom(SettingsReader &reader)
{
    return SetTarget { RecordJson::targetFrom(reader) };
}

CommandBody removeTargetFrom(SettingsReader &reader)
{
    return RemoveTarget { RecordJson::idFrom<TargetId>(reader, "target") };
}

CommandBody drainTargetFrom(SettingsReader &reader)
{
    return DrainTarget { RecordJson::idFrom<TargetId>(reader, "target"), RecordJson::booleanFrom(reader, "drained") };
}

CommandBody setClientBlockFrom(SettingsReader &reader)
{
    return SetClientBlock { reader.requiredText("prefix"), RecordJson::idFrom<RegionId>(reader, "region") };
}

CommandBody retireVmFrom(SettingsReader &reader)
{
    return RetireVm { { RecordJson::idFrom<VmId>(reader, "vm"), RecordJson::incarnationFrom(reader, "incarnation") } };
}

CommandBody bodyFrom(SettingsReader &reader, bool isInBatch);

CommandBody batchFrom(SettingsReader &reader)
{
    CommandBatch batch;
    for (SettingsReader &element : reader.objects("commands")) {
        batch.commands.push_back(bodyFrom(element, true));
    }
    return batch;
}

struct Kind
{
    std::string_view name;
    CommandBody (*read)(SettingsReader &reader);
};

constexpr std::array<Kind, 11> kinds { {
    { "set-region", setRegionFrom },
    { "set-customer", setCustomerFrom },
    { "grant-key", grantKeyFrom },
    { "withdraw-key", withdrawKeyFrom },
    { "set-service", setServiceFrom },
    { "set-target", setTargetFrom },
    { "remove-target", removeTargetFrom },
    { "drain-target", drainTargetFrom },
    { "set-client-block", setClientBlockFrom },
    { "retire-vm", retireVmFrom },
    { "batch", batchFrom },
} };

CommandBody bodyFrom(SettingsReader &reader, bool isInBatch)
{
    const std::string name = reader.requiredText("kind");
    for (const Kind &kind : kinds) {
        // Nested batches are rejected here, because unlimited recursion could exhaust the stack.
        if (kind.name == name && !(isInBatch && kind.read == batchFrom)) {
            CommandBody body = kind.read(reader);
            reader.rejectUnknownMembers();
            return body;
        }
    }
    reader.reject("kind", name, "the name of a command");
    return CommandBatch {};
}

Result<Command> commandFrom(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    Command command;
    command.id = RecordJson::idFrom<CommandId>(reader, "id");
    command.operatorId = RecordJson::idFrom<OperatorId>(reader, "operator");
    if (reader.has("seen")) {
        command.seen = RecordJson::versionFrom(reader, "seen");
    }
    command.wallTime = Microseconds(reader.requiredInteger("wallTimeUs", 0, RecordJson::largestInteger));
    SettingsReader body = reader.object("command");
    command.body = bodyFrom(body, false);
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return command;
}

} // namespace

std::string CommandCodec::encode(const Command &command)
{
    Object object;
    object.set("id", command.id.text());
    object.set("operator", command.operatorId.text());
    if (command.seen) {
        object.set("seen", command.seen->value());
    }
    object.set("wallTimeUs", static_cast<std::int64_t>(command.wallTime.count()));
    object.set("command", toJson(command.body));
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Result<Command> CommandCodec::decode(const std::string &text)
{
    try {
        return commandFrom(text);
    } catch (const Poco::Exception &exception) {
        // Poco throws if a number is outside the range of the requested type.
        return fail(ErrorCode::InvalidArgument, "not a command: " + exception.displayText());
    }
}

} // namespace Sapphire
