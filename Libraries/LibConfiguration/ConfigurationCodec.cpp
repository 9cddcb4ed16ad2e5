#include <LibConfiguration/ConfigurationCodec.h>

#include <LibConfiguration/ApplyCommand.h>
#include <LibConfiguration/RecordJson.h>

#include <algorithm>
#include <sstream>

namespace Sapphire {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// To be incremented when the format changes in a way that older programs can't read.
constexpr std::int64_t formatNumber = 1;
constexpr std::size_t prefixesPerText = 1000;
constexpr std::size_t longestFaultText = 100;

void addLastChange(Object &object, const LastChange &lastChange)
{
    object.set("version", lastChange.version.value());
    object.set("changedBy", lastChange.changedBy.text());
}

LastChange lastChangeFrom(SettingsReader &reader)
{
    return { RecordJson::versionFrom(reader, "version"), RecordJson::idFrom<OperatorId>(reader, "changedBy") };
}

template<typename Map, typename AddMembers>
Array::Ptr arrayOf(const Map &map, AddMembers addMembers)
{
    Array::Ptr array = new Array;
    for (const auto &[key, record] : map) {
        Object::Ptr object = new Object;
        addMembers(*object, record);
        addLastChange(*object, record.lastChange);
        array->add(object);
    }
    return array;
}

Array::Ptr regionsOf(const Configuration &configuration)
{
    return arrayOf(configuration.regions, [](Object &object, const RegionRecord &region) {
        object.set("region", region.id.text());
        object.set("fallbacks", RecordJson::regionsToJson(region.fallbacks));
        object.set("addedIn", region.addedIn.value());
    });
}

Array::Ptr customersOf(const Configuration &configuration)
{
    return arrayOf(configuration.customers, [](Object &object, const CustomerRecord &customer) {
        object.set("customer", customer.id.text());
        object.set("ratePerSecond", customer.ratePerSecond);
        object.set("burst", customer.burst);
    });
}

Array::Ptr keysOf(const Configuration &configuration)
{
    return arrayOf(configuration.keys, [](Object &object, const KeyRecord &key) {
        object.set("key", key.id.text());
        object.set("customer", key.customer.text());
        object.set("secretHash", key.secretHash);
        object.set("withdrawn", key.isWithdrawn);
    });
}

Array::Ptr removedTargetsOf(const Configuration &configuration)
{
    Array::Ptr array = new Array;
    for (const auto &[id, lastChange] : configuration.removedTargets) {
        Object::Ptr object = new Object;
        object->set("target", id.text());
        addLastChange(*object, lastChange);
        array->add(object);
    }
    return array;
}

Array::Ptr retiredOf(const Configuration &configuration)
{
    Array::Ptr array = new Array;
    for (const auto &[vm, incarnation] : configuration.retired) {
        Object::Ptr object = new Object;
        object->set("vm", vm.text());
        object->set("incarnation", std::to_string(incarnation.value()));
        array->add(object);
    }
    return array;
}

/// Returns texts of the form "REGION VERSION OPERATOR PREFIX...". An object or text for each of 160,000 client blocks
/// would take several times the memory.
Array::Ptr clientBlocksOf(const Configuration &configuration)
{
    struct Group
    {
        std::string text;
        std::size_t count { 0 };
    };
    Array::Ptr array = new Array;
    std::map<std::string, Group> groups;
    for (const auto &[prefix, block] : configuration.clientBlocks) {
        const std::string commonFields = block.region.text() + ' ' + std::to_string(block.lastChange.version.value())
            + ' ' + block.lastChange.changedBy.text();
        Group &group = groups[commonFields];
        group.text += ' ' + prefix;
        ++group.count;
        if (group.count == prefixesPerText) {
            array->add(commonFields + group.text);
            groups.erase(commonFields);
        }
    }
    for (const auto &[commonFields, group] : groups) {
        array->add(commonFields + group.text);
    }
    return array;
}

Array::Ptr recentCommandsOf(const Configuration &configuration)
{
    Array::Ptr array = new Array;
    for (const auto &[version, command] : configuration.recentCommands) {
        array->add(std::to_string(version.value()) + ' ' + command.text());
    }
    return array;
}

std::vector<std::string_view> wordsOf(std::string_view text)
{
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(' '), text.size());
        words.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return words;
}

/// Calls `read` for each object of the array `name` and rejects members that `read` didn't ask for.
template<typename Read>
void readObjects(SettingsReader &reader, const std::string &name, Read read)
{
    if (!reader.has(name)) {
        reader.reject(name, "nothing", "an array of objects");
    }
    for (SettingsReader &element : reader.objects(name)) {
        read(element);
        element.rejectUnknownMembers();
    }
}

std::vector<std::string> textsFrom(SettingsReader &reader, const std::string &name)
{
    if (!reader.has(name)) {
        reader.reject(name, "nothing", "an array of texts");
    }
    return reader.texts(name);
}

void readRegions(SettingsReader &reader, Configuration &configuration)
{
    readObjects(reader, "regions", [&](SettingsReader &element) {
        RegionRecord region;
        region.id = RecordJson::idFrom<RegionId>(element, "region");
        region.fallbacks = RecordJson::regionsFrom(element, "fallbacks");
        region.addedIn = RecordJson::versionFrom(element, "addedIn");
        region.lastChange = lastChangeFrom(element);
        configuration.regions.emplace(region.id, region);
    });
}

void readCustomers(SettingsReader &reader, Configuration &configuration)
{
    readObjects(reader, "customers", [&](SettingsReader &element) {
        CustomerRecord customer;
        customer.id = RecordJson::idFrom<CustomerId>(element, "customer");
        customer.ratePerSecond = RecordJson::numberFrom(element, "ratePerSecond");
        customer.burst = RecordJson::numberFrom(element, "burst");
        customer.lastChange = lastChangeFrom(element);
        configuration.customers.emplace(customer.id, customer);
    });
}

void readKeys(SettingsReader &reader, Configuration &configuration)
{
    readObjects(reader, "keys", [&](SettingsReader &element) {
        KeyRecord key;
        key.id = RecordJson::idFrom<KeyId>(element, "key");
        key.customer = RecordJson::idFrom<CustomerId>(element, "customer");
        key.secretHash = element.requiredText("secretHash");
        key.isWithdrawn = RecordJson::booleanFrom(element, "withdrawn");
        key.lastChange = lastChangeFrom(element);
        configuration.keys.emplace(key.id, key);
    });
}

void readServices(SettingsReader &reader, Configuration &configuration)
{
    readObjects(reader, "services", [&](SettingsReader &element) {
        ServiceRecord service = RecordJson::serviceFrom(element);
        service.lastChange = lastChangeFrom(element);
        configuration.services.emplace(service.id, service);
    });
}

void readTargets(SettingsReader &reader, Configuration &configuration)
{
    readObjects(reader, "targets", [&](SettingsReader &element) {
        TargetRecord target = RecordJson::targetFrom(element);
        target.lastChange = lastChangeFrom(element);
        configuration.targets.emplace(target.id, target);
    });
    readObjects(reader, "removedTargets", [&](SettingsReader &element) {
        const auto id = RecordJson::idFrom<TargetId>(element, "target");
        configuration.removedTargets.emplace(id, lastChangeFrom(element));
    });
}

void readRetired(SettingsReader &reader, Configuration &configuration)
{
    readObjects(reader, "retired", [&](SettingsReader &element) {
        const auto vm = RecordJson::idFrom<VmId>(element, "vm");
        configuration.retired.emplace(vm, RecordJson::incarnationFrom(element, "incarnation"));
    });
}

void readClientBlocks(SettingsReader &reader, Configuration &configuration)
{
    std::vector<std::pair<std::string, ClientBlockRecord>> blocks;
    for (const std::string &text : textsFrom(reader, "clientBlocks")) {
        const std::vector<std::string_view> words = wordsOf(text);
        const auto version = words.size() > 3 ? RecordJson::digitsFrom(words[1]) : std::nullopt;
        if (!version) {
            reader.reject("clientBlocks", text.substr(0, longestFaultText), "REGION VERSION OPERATOR PREFIX...");
            continue;
        }
        ClientBlockRecord block;
        block.region = RegionId(std::string(words[0]));
        block.lastChange = { ConfigurationVersion(*version), OperatorId(std::string(words[2])) };
        for (std::size_t i = 3; i < words.size(); ++i) {
            block.prefix = std::string(words[i]);
            if (!isAddressPrefix(block.prefix)) {
                reader.reject("clientBlocks", block.prefix, "an IPv4 prefix");
            }
            blocks.emplace_back(block.prefix, block);
        }
    }
    configuration.clientBlocks = CopyOnWriteMap<std::string, ClientBlockRecord>(std::move(blocks));
}

void readRecentCommands(SettingsReader &reader, Configuration &configuration)
{
    std::vector<std::pair<ConfigurationVersion, CommandId>> commands;
    for (const std::string &text : textsFrom(reader, "recentCommands")) {
        const std::vector<std::string_view> words = wordsOf(text);
        const auto version = words.size() == 2 ? RecordJson::digitsFrom(words[0]) : std::nullopt;
        if (!version) {
            reader.reject("recentCommands", text.substr(0, longestFaultText), "VERSION COMMAND");
            continue;
        }
        commands.emplace_back(ConfigurationVersion(*version), CommandId(std::string(words[1])));
    }
    configuration.recentCommands = CopyOnWriteMap<ConfigurationVersion, CommandId>(std::move(commands));
}

Result<Configuration> configurationFrom(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    Configuration configuration;
    reader.requiredInteger("format", formatNumber, formatNumber);
    configuration.version = RecordJson::versionFrom(reader, "version");
    readRegions(reader, configuration);
    readCustomers(reader, configuration);
    readKeys(reader, configuration);
    readServices(reader, configuration);
    readTargets(reader, configuration);
    readRetired(reader, configuration);
    readClientBlocks(reader, configuration);
    readRecentCommands(reader, configuration);
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return configuration;
}

} // namespace

std::string ConfigurationCodec::encode(const Configuration &configuration)
{
    Object object;
    object.set("format", formatNumber);
    object.set("version", configuration.version.value());
    object.set("regions", regionsOf(configuration));
    object.set("customers", customersOf(configuration));
    object.set("keys", keysOf(configuration));
    object.set("services", arrayOf(configuration.services, RecordJson::addService));
    object.set("targets", arrayOf(configuration.targets, RecordJson::addTarget));
    object.set("removedTargets", removedTargetsOf(configuration));
    object.set("retired", retiredOf(configuration));
    object.set("clientBlocks", clientBlocksOf(configuration));
    object.set("recentCommands", recentCommandsOf(configuration));
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Result<Configuration> ConfigurationCodec::decode(const std::string &text)
{
    try {
        return configurationFrom(text);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::InvalidArgument, "not a configuration: " + exception.displayText());
    }
}

} // namespace Sapphire
