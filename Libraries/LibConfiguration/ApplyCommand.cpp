#include <LibConfiguration/ApplyCommand.h>

#include <LibCore/Ipv4Endpoint.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Sapphire {

namespace {

constexpr double largestRate = 1'000'000;
constexpr std::size_t longestId = 64;
constexpr std::size_t longestCommandId = 128;
constexpr std::size_t largestBatch = 200'000;
constexpr int mostSlots = 10'000;
constexpr int mostConnections = 1'000'000;
constexpr std::size_t hashDigits = 64;
constexpr Milliseconds longestInterval { 3'600'000 };

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isLetter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

bool consistsOf(const std::string &text, std::size_t longest, std::string_view extraCharacters)
{
    if (text.empty() || text.size() > longest) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [extraCharacters](char character) {
        return isLetter(character) || isDigit(character) || extraCharacters.find(character) != std::string_view::npos;
    });
}

/// Parses a whole number of at most `most`, without sign or leading zeros.
std::optional<unsigned> numberFrom(std::string_view text, unsigned most)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool hasLeadingZero = text.size() > 1 && text.front() == '0';
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || hasLeadingZero || value > most) {
        return std::nullopt;
    }
    return value;
}

Result<void> checkText(std::string_view kind, const std::string &text, std::size_t longest,
                       std::string_view extraCharacters)
{
    if (consistsOf(text, longest, extraCharacters)) {
        return {};
    }
    return fail(ErrorCode::InvalidArgument,
                std::string(kind) + ": found \"" + text + "\", expected 1 to " + std::to_string(longest)
                    + " letters, digits or characters of \"" + std::string(extraCharacters) + "\"");
}

template<typename Tag>
Result<void> checkId(std::string_view kind, const StrongId<Tag> &id)
{
    return checkText(kind, id.text(), longestId, "._:-");
}

Result<void> checkRange(std::string_view kind, double value, double least, double most)
{
    if (std::isfinite(value) && value >= least && value <= most) {
        return {};
    }
    return fail(ErrorCode::InvalidArgument,
                std::string(kind) + ": found " + std::to_string(value) + ", expected a number from "
                    + std::to_string(least) + " to " + std::to_string(most));
}

template<typename Tag, typename Map>
Result<void> checkKnown(std::string_view kind, const StrongId<Tag> &id, const Map &known)
{
    if (known.contains(id)) {
        return {};
    }
    return fail(ErrorCode::NotFound, std::string(kind) + " " + id.text() + " is not known");
}

/// Applies one command to its own copy of the configuration.
class CommandApplier
{
public:
    CommandApplier(const Configuration &before, const Command &command, ConfigurationVersion version)
        : m_result(before), m_command(command), m_change { version, command.operatorId }
    {
        m_result.version = version;
    }

    Result<Configuration> run()
    {
        BOOST_LEAF_CHECK(checkText("command id", m_command.id.text(), longestCommandId, "._:/-"));
        BOOST_LEAF_CHECK(checkId("operator", m_command.operatorId));
        if (const auto earlier = versionOfCommand(m_result, m_command.id)) {
            return fail(ErrorCode::Conflict,
                        "command " + m_command.id.text() + " took effect in version "
                            + std::to_string(earlier->value()));
        }
        BOOST_LEAF_CHECK(applyBody(m_command.body));
        recordCommandId();
        return std::move(m_result);
    }

private:
    Result<void> applyBody(const CommandBody &body)
    {
        return std::visit(
            [this](const auto &alternative) {
                return apply(alternative);
            },
            body);
    }

    void recordCommandId()
    {
        m_result.recentCommands[m_change.version] = m_command.id;
        while (m_result.recentCommands.begin()->first.value() + recentCommandLimit <= m_change.version.value()) {
            const ConfigurationVersion oldest = m_result.recentCommands.begin()->first;
            m_result.recentCommands.erase(oldest);
        }
    }

    /// Fails if the object was changed after the version on which the operator based the command.
    Result<void> checkNoLaterChange(const std::string &object, const LastChange &lastChange) const
    {
        const bool isOwnChange = lastChange.version == m_change.version;
        if (!m_command.seen || isOwnChange || lastChange.version <= *m_command.seen) {
            return {};
        }
        return fail(ErrorCode::Conflict,
                    object + " was changed by " + lastChange.changedBy.text() + " in version "
                        + std::to_string(lastChange.version.value()));
    }

    template<typename Map>
    Result<void> checkNoLaterChangeIn(const std::string &object, const Map &map,
                                      const typename Map::key_type &key) const
    {
        const auto found = map.find(key);
        return found == map.end() ? Result<void>() : checkNoLaterChange(object, found->second.lastChange);
    }

    Result<void> apply(const SetRegion &set)
    {
        BOOST_LEAF_CHECK(checkId("region", set.region));
        BOOST_LEAF_CHECK(checkNoLaterChangeIn("region " + set.region.text(), m_result.regions, set.region));
        std::set<RegionId> distinct { set.region };
        for (const RegionId &fallback : set.fallbacks) {
            if (!m_regionsOfBatch.contains(fallback)) {
                BOOST_LEAF_CHECK(checkKnown("region", fallback, m_result.regions));
            }
            if (!distinct.insert(fallback).second) {
                return fail(ErrorCode::InvalidArgument,
                            "fallbacks of region " + set.region.text() + ": found " + fallback.text()
                                + " twice or as its own fallback, expected distinct other regions");
            }
        }
        const auto found = m_result.regions.find(set.region);
        const ConfigurationVersion addedIn = found == m_result.regions.end() ? m_change.version : found->second.addedIn;
        m_result.regions[set.region] = RegionRecord { set.region, set.fallbacks, m_change, addedIn };
        return {};
    }

    Result<void> apply(const SetCustomer &set)
    {
        BOOST_LEAF_CHECK(checkId("customer", set.customer));
        BOOST_LEAF_CHECK(checkRange("rate of customer " + set.customer.text(), set.ratePerSecond, 0.001, largestRate));
        BOOST_LEAF_CHECK(checkRange("burst of customer " + set.customer.text(), set.burst, 1, largestRate));
        BOOST_LEAF_CHECK(checkNoLaterChangeIn("customer " + set.customer.text(), m_result.customers, set.customer));
        m_result.customers[set.customer] = CustomerRecord { set.customer, set.ratePerSecond, set.burst, m_change };
        return {};
    }

    Result<void> apply(const GrantKey &grant)
    {
        // No dot: in the text form of a key, it separates the key id from the secret.
        BOOST_LEAF_CHECK(checkText("key id", grant.key.text(), longestId, "_-"));
        BOOST_LEAF_CHECK(checkKnown("customer", grant.customer, m_result.customers));
        const bool isHexadecimal = std::all_of(grant.secretHash.begin(), grant.secretHash.end(), [](char character) {
            return isDigit(character) || (character >= 'a' && character <= 'f');
        });
        if (grant.secretHash.size() != hashDigits || !isHexadecimal) {
            return fail(ErrorCode::InvalidArgument,
                        "secret hash of key " + grant.key.text()
                            + ": expected the 64 lower-case hexadecimal digits of a SHA-256 digest");
        }
        const auto found = m_result.keys.find(grant.key);
        if (found != m_result.keys.end()) {
            BOOST_LEAF_CHECK(checkNoLaterChange("key " + grant.key.text(), found->second.lastChange));
            return fail(ErrorCode::Conflict, "key " + grant.key.text() + " exists; key ids are never reused");
        }
        m_result.keys[grant.key] = KeyRecord { grant.key, grant.customer, grant.secretHash, false, m_change };
        return {};
    }

    Result<void> apply(const WithdrawKey &withdraw)
    {
        BOOST_LEAF_CHECK(checkKnown("key", withdraw.key, m_result.keys));
        KeyRecord &key = m_result.keys[withdraw.key];
        BOOST_LEAF_CHECK(checkNoLaterChange("key " + withdraw.key.text(), key.lastChange));
        if (key.isWithdrawn) {
            return fail(ErrorCode::Conflict,
                        "key " + withdraw.key.text() + " was withdrawn by " + key.lastChange.changedBy.text()
                            + " in version " + std::to_string(key.lastChange.version.value()));
        }
        key.isWithdrawn = true;
        key.lastChange = m_change;
        return {};
    }

    Result<void> apply(const SetService &set)
    {
        const ServiceRecord &service = set.service;
        const std::string object = "service " + service.id.text();
        const auto whole = static_cast<double>(wholeShare.value());
        const auto longest = static_cast<double>(longestInterval.count());
        BOOST_LEAF_CHECK(checkId("service", service.id));
        BOOST_LEAF_CHECK(checkRange("default timeout of " + object + " in ms",
                                    static_cast<double>(service.defaultTimeout.count()), 1, longest));
        BOOST_LEAF_CHECK(
            checkRange("shift cap of " + object + " in ppm", static_cast<double>(service.shiftCap.value()), 1, whole));
        BOOST_LEAF_CHECK(checkRange("shift interval of " + object + " in ms",
                                    static_cast<double>(service.shiftInterval.count()), 100, longest));
        BOOST_LEAF_CHECK(checkRange("region limit of " + object + " in ppm",
                                    static_cast<double>(service.regionLimit.value()), 1, whole));
        BOOST_LEAF_CHECK(checkNoLaterChangeIn(object, m_result.services, service.id));
        ServiceRecord &record = m_result.services[service.id];
        record = service;
        record.lastChange = m_change;
        return {};
    }

    Result<void> apply(const SetTarget &set)
    {
        const TargetRecord &target = set.target;
        const std::string object = "target " + target.id.text();
        BOOST_LEAF_CHECK(checkId("target", target.id));
        BOOST_LEAF_CHECK(checkKnown("service", target.service, m_result.services));
        BOOST_LEAF_CHECK(checkKnown("region", target.locality.region, m_result.regions));
        BOOST_LEAF_CHECK(checkId("availability zone of " + object, target.locality.availabilityZone));
        if (!isAddressWithPort(target.address)) {
            return fail(ErrorCode::InvalidArgument,
                        "address of " + object + ": found \"" + target.address + "\", expected IPV4:PORT");
        }
        BOOST_LEAF_CHECK(checkRange("slots of " + object, target.slots, 1, mostSlots));
        BOOST_LEAF_CHECK(checkRange("connection limit of " + object, target.connectionLimit, 1, mostConnections));
        BOOST_LEAF_CHECK(checkNoLaterChangeIn(object, m_result.targets, target.id));
        const auto removed = m_result.removedTargets.find(target.id);
        if (removed != m_result.removedTargets.end()) {
            BOOST_LEAF_CHECK(checkNoLaterChange(object, removed->second));
        }
        const auto found = m_result.targets.find(target.id);
        // A change of slots or address during maintenance must not end the drain.
        const bool isDrained = found == m_result.targets.end() ? target.isDrained : found->second.isDrained;
        TargetRecord &record = m_result.targets[target.id];
        record = target;
        record.isDrained = isDrained;
        record.lastChange = m_change;
        m_result.removedTargets.erase(target.id);
        return {};
    }

    Result<void> apply(const RemoveTarget &remove)
    {
        BOOST_LEAF_CHECK(checkKnown("target", remove.target, m_result.targets));
        BOOST_LEAF_CHECK(checkNoLaterChangeIn("target " + remove.target.text(), m_result.targets, remove.target));
        m_result.targets.erase(remove.target);
        m_result.removedTargets[remove.target] = m_change;
        return {};
    }

    Result<void> apply(const DrainTarget &drain)
    {
        BOOST_LEAF_CHECK(checkKnown("target", drain.target, m_result.targets));
        BOOST_LEAF_CHECK(checkNoLaterChangeIn("target " + drain.target.text(), m_result.targets, drain.target));
        TargetRecord &record = m_result.targets[drain.target];
        record.isDrained = drain.isDrained;
        record.lastChange = m_change;
        return {};
    }

    Result<void> apply(const SetClientBlock &set)
    {
        if (!isAddressPrefix(set.prefix)) {
            return fail(ErrorCode::InvalidArgument,
                        "client block: found \"" + set.prefix
                            + "\", expected an IPv4 prefix without host bits such as 10.1.0.0/16");
        }
        BOOST_LEAF_CHECK(checkKnown("region", set.region, m_result.regions));
        const auto found = m_result.clientBlocks.find(set.prefix);
        if (found != m_result.clientBlocks.end()) {
            BOOST_LEAF_CHECK(checkNoLaterChange("client block " + set.prefix, found->second.lastChange));
        }
        m_result.clientBlocks[set.prefix] = ClientBlockRecord { set.prefix, set.region, m_change };
        return {};
    }

    Result<void> apply(const RetireVm &retire)
    {
        BOOST_LEAF_CHECK(checkId("VM", retire.process.vm));
        if (retire.process.incarnation == Incarnation {}) {
            return fail(ErrorCode::InvalidArgument,
                        "incarnation of VM " + retire.process.vm.text() + ": found 0, expected a positive number");
        }
        if (m_result.isRetired(retire.process)) {
            return fail(ErrorCode::Conflict,
                        "VM " + retire.process.vm.text() + " incarnation "
                            + std::to_string(retire.process.incarnation.value()) + " is retired");
        }
        m_result.retired[retire.process.vm] = retire.process.incarnation;
        return {};
    }

    Result<void> apply(const CommandBatch &batch)
    {
        if (batch.commands.empty() || batch.commands.size() > largestBatch) {
            return fail(ErrorCode::InvalidArgument,
                        "batch: found " + std::to_string(batch.commands.size()) + " commands, expected 1 to "
                            + std::to_string(largestBatch));
        }
        for (const CommandBody &body : batch.commands) {
            if (const auto *set = std::get_if<SetRegion>(&body)) {
                m_regionsOfBatch.insert(set->region);
            }
        }
        for (const CommandBody &body : batch.commands) {
            if (std::holds_alternative<CommandBatch>(body)) {
                return fail(ErrorCode::InvalidArgument, "batch: found a batch inside, expected single commands");
            }
            BOOST_LEAF_CHECK(applyBody(body));
        }
        return {};
    }

    Configuration m_result;
    const Command &m_command;
    LastChange m_change;
    /// All regions that the batch sets, so that they may name each other as fallbacks in any order.
    std::set<RegionId> m_regionsOfBatch;
};

} // namespace

Result<Configuration> applyCommand(const Configuration &before, const Command &command, ConfigurationVersion version)
{
    return CommandApplier(before, command, version).run();
}

Configuration applyEntry(const Configuration &before, const LogEntry &entry, std::optional<Error> &skipped)
{
    Outcome<Configuration> after = capture([&] {
        return applyCommand(before, entry.command, entry.version);
    });
    if (after) {
        skipped.reset();
        return std::move(after.value());
    }
    skipped = after.error();
    Configuration unchanged = before;
    unchanged.version = entry.version;
    return unchanged;
}

std::optional<ConfigurationVersion> versionOfCommand(const Configuration &configuration, const CommandId &id)
{
    for (const auto &[version, command] : configuration.recentCommands) {
        if (command == id) {
            return version;
        }
    }
    return std::nullopt;
}

bool isAddressPrefix(const std::string &text)
{
    std::string_view left = text;
    const std::optional<Ipv4Address> address = takeIpv4Address(left);
    if (!address || !left.starts_with('/')) {
        return false;
    }
    const auto bits = numberFrom(left.substr(1), 32);
    if (!bits) {
        return false;
    }
    const std::uint64_t hostMask = (std::uint64_t { 1 } << (32U - *bits)) - 1;
    return (address->value() & hostMask) == 0;
}

bool isAddressWithPort(const std::string &text)
{
    return static_cast<bool>(capture([&text] {
        return Ipv4Endpoint::parse(text);
    }));
}

} // namespace Sapphire
