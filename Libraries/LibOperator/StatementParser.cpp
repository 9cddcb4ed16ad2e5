#include <LibOperator/StatementParser.h>

#include <LibOperator/WordReader.h>

#include <cmath>
#include <map>
#include <sstream>

namespace Sapphire {

namespace {

constexpr double highestRate = 1e9;
constexpr std::int64_t longestTimeout = 600'000;
constexpr std::int64_t mostSlots = 100'000;
constexpr std::int64_t mostConnections = 1'000'000;
constexpr double partsPerPercent = 10'000.0;

const std::map<std::string, ShowSubject> showSubjects {
    { "vms", ShowSubject::Vms },           { "customers", ShowSubject::Customers }, { "keys", ShowSubject::Keys },
    { "services", ShowSubject::Services }, { "targets", ShowSubject::Targets },     { "regions", ShowSubject::Regions },
    { "blocks", ShowSubject::Blocks },     { "limits", ShowSubject::Limits },       { "rooms", ShowSubject::Rooms },
    { "weights", ShowSubject::Weights },   { "version", ShowSubject::Version },
};

const std::map<std::string, ExplainSubject> explainSubjects {
    { "change", ExplainSubject::Change },
    { "customer", ExplainSubject::Customer },
    { "target", ExplainSubject::Target },
};

template<typename Map>
std::string namesOf(const Map &map)
{
    std::string names;
    for (const auto &[name, value] : map) {
        names += names.empty() ? name : ", " + name;
    }
    return names;
}

Result<Share> takePercent(WordReader &words)
{
    BOOST_LEAF_AUTO(percent, words.takeNumber("a percentage", 0, 100));
    return Share(std::llround(percent * partsPerPercent));
}

Result<OperatorStatement> parseShow(WordReader &words)
{
    BOOST_LEAF_AUTO(name, words.take("one of " + namesOf(showSubjects)));
    const auto subject = showSubjects.find(name);
    if (subject == showSubjects.end()) {
        return fail(ErrorCode::InvalidArgument, "found '" + name + "', expected one of " + namesOf(showSubjects));
    }
    ShowStatement statement { subject->second };
    if (!words.isAtEnd()) {
        BOOST_LEAF_ASSIGN(statement.name, words.take("a name"));
    }
    BOOST_LEAF_CHECK(words.expectEnd());
    return statement;
}

Result<OperatorStatement> parseExplain(WordReader &words)
{
    BOOST_LEAF_AUTO(name, words.take("one of " + namesOf(explainSubjects)));
    const auto subject = explainSubjects.find(name);
    if (subject == explainSubjects.end()) {
        return fail(ErrorCode::InvalidArgument, "found '" + name + "', expected one of " + namesOf(explainSubjects));
    }
    BOOST_LEAF_AUTO(object, words.take("a name or version"));
    BOOST_LEAF_CHECK(words.expectEnd());
    return ExplainStatement { subject->second, object };
}

Result<CommandBody> parseSetCustomer(WordReader &words)
{
    SetCustomer command;
    BOOST_LEAF_AUTO(name, words.take("a customer"));
    command.customer = CustomerId(name);
    BOOST_LEAF_CHECK(words.expect("rate"));
    BOOST_LEAF_ASSIGN(command.ratePerSecond, words.takeNumber("requests per second", 0, highestRate));
    BOOST_LEAF_CHECK(words.expect("burst"));
    BOOST_LEAF_ASSIGN(command.burst, words.takeNumber("requests", 0, highestRate));
    return command;
}

Result<CommandBody> parseSetService(WordReader &words)
{
    ServiceRecord service;
    BOOST_LEAF_AUTO(name, words.take("a service"));
    service.id = ServiceId(name);
    if (words.takeIf("open")) {
        service.isOpenToAll = true;
    } else {
        BOOST_LEAF_CHECK(words.expect("keyed"));
    }
    if (words.takeIf("timeout")) {
        BOOST_LEAF_AUTO(timeout, words.takeInteger("milliseconds", 1, longestTimeout));
        service.defaultTimeout = Milliseconds(timeout);
    }
    if (words.takeIf("shift-cap")) {
        BOOST_LEAF_ASSIGN(service.shiftCap, takePercent(words));
    }
    if (words.takeIf("shift-interval")) {
        BOOST_LEAF_AUTO(interval, words.takeInteger("milliseconds", 100, longestTimeout));
        service.shiftInterval = Milliseconds(interval);
    }
    if (words.takeIf("region-limit")) {
        BOOST_LEAF_ASSIGN(service.regionLimit, takePercent(words));
    }
    return SetService { service };
}

Result<CommandBody> parseSetTarget(WordReader &words)
{
    TargetRecord target;
    BOOST_LEAF_AUTO(name, words.take("a target"));
    target.id = TargetId(name);
    BOOST_LEAF_CHECK(words.expect("service"));
    BOOST_LEAF_AUTO(service, words.take("a service"));
    target.service = ServiceId(service);
    BOOST_LEAF_CHECK(words.expect("region"));
    BOOST_LEAF_AUTO(region, words.take("a region"));
    BOOST_LEAF_CHECK(words.expect("zone"));
    BOOST_LEAF_AUTO(zone, words.take("an availability zone"));
    target.locality = { RegionId(region), AvailabilityZoneId(zone) };
    BOOST_LEAF_CHECK(words.expect("address"));
    BOOST_LEAF_ASSIGN(target.address, words.take("ip:port"));
    BOOST_LEAF_CHECK(words.expect("slots"));
    BOOST_LEAF_AUTO(slots, words.takeInteger("slots", 1, mostSlots));
    target.slots = static_cast<int>(slots);
    if (words.takeIf("connections")) {
        BOOST_LEAF_AUTO(connections, words.takeInteger("connections", 1, mostConnections));
        target.connectionLimit = static_cast<int>(connections);
    }
    return SetTarget { target };
}

Result<CommandBody> parseSetRegion(WordReader &words)
{
    SetRegion command;
    BOOST_LEAF_AUTO(name, words.take("a region"));
    command.region = RegionId(name);
    if (words.takeIf("fallbacks")) {
        BOOST_LEAF_AUTO(list, words.take("regions joined by commas, nearest first"));
        std::istringstream stream(list);
        for (std::string region; std::getline(stream, region, ',');) {
            command.fallbacks.emplace_back(region);
        }
    }
    return command;
}

Result<CommandBody> parseSet(WordReader &words)
{
    if (words.takeIf("customer")) {
        return parseSetCustomer(words);
    }
    if (words.takeIf("service")) {
        return parseSetService(words);
    }
    if (words.takeIf("target")) {
        return parseSetTarget(words);
    }
    if (words.takeIf("region")) {
        return parseSetRegion(words);
    }
    if (words.takeIf("block")) {
        BOOST_LEAF_AUTO(prefix, words.take("an address prefix"));
        BOOST_LEAF_CHECK(words.expect("region"));
        BOOST_LEAF_AUTO(region, words.take("a region"));
        return SetClientBlock { prefix, RegionId(region) };
    }
    BOOST_LEAF_AUTO(found, words.take("customer, service, target, region or block"));
    return fail(ErrorCode::InvalidArgument,
                "found '" + found + "', expected customer, service, target, region or block");
}

Result<CommandBody> parseGrant(WordReader &words)
{
    BOOST_LEAF_CHECK(words.expect("key"));
    BOOST_LEAF_AUTO(key, words.take("a key id"));
    BOOST_LEAF_CHECK(words.expect("customer"));
    BOOST_LEAF_AUTO(customer, words.take("a customer"));
    BOOST_LEAF_CHECK(words.expect("hash"));
    BOOST_LEAF_AUTO(hash, words.take("the SHA-256 of the secret in hexadecimal digits"));
    return GrantKey { KeyId(key), CustomerId(customer), hash };
}

Result<CommandBody> parseChange(const std::string &verb, WordReader &words)
{
    if (verb == "set") {
        return parseSet(words);
    }
    if (verb == "grant") {
        return parseGrant(words);
    }
    if (verb == "withdraw") {
        BOOST_LEAF_CHECK(words.expect("key"));
        BOOST_LEAF_AUTO(key, words.take("a key id"));
        return WithdrawKey { KeyId(key) };
    }
    BOOST_LEAF_CHECK(words.expect("target"));
    BOOST_LEAF_AUTO(target, words.take("a target"));
    if (verb == "remove") {
        return RemoveTarget { TargetId(target) };
    }
    return DrainTarget { TargetId(target), verb == "drain" };
}

bool isChange(const std::string &verb)
{
    return verb == "set" || verb == "grant" || verb == "withdraw" || verb == "drain" || verb == "undrain"
        || verb == "remove";
}

} // namespace

Result<OperatorStatement> parseStatement(const std::string &text)
{
    WordReader words(text);
    BOOST_LEAF_AUTO(verb, words.take("show, explain, set, grant, withdraw, drain, undrain, remove or help"));
    if (verb == "show") {
        return parseShow(words);
    }
    if (verb == "explain") {
        return parseExplain(words);
    }
    if (verb == "help") {
        HelpStatement statement;
        if (!words.isAtEnd()) {
            BOOST_LEAF_ASSIGN(statement.topic, words.take("a topic"));
        }
        return statement;
    }
    if (!isChange(verb)) {
        return fail(ErrorCode::InvalidArgument,
                    "found '" + verb
                        + "', expected show, explain, set, grant, withdraw, drain, undrain, remove or help");
    }
    BOOST_LEAF_AUTO(body, parseChange(verb, words));
    ChangeStatement statement { std::move(body) };
    if (words.takeIf("if-unchanged-since")) {
        BOOST_LEAF_AUTO(version, words.takeInteger("a version", 0, std::int64_t { 1 } << 60U));
        statement.seen = ConfigurationVersion(static_cast<std::uint64_t>(version));
    }
    BOOST_LEAF_CHECK(words.expectEnd());
    return statement;
}

std::string helpText(const std::string &topic)
{
    static const std::map<std::string, std::string> topics {
        { "show",
          "show vms | customers | keys | services | targets | regions | blocks | limits | rooms | weights | version  "
          "[NAME]\n"
          "  limits, rooms (slots and busy slots of regions) and weights are as the answering VM knows them.\n" },
        { "explain",
          "explain change VERSION     who made it, and on which VMs it is not confirmed yet\n"
          "explain customer CUSTOMER  rate, burst, keys and home VMs\n"
          "explain target TARGET      configuration and observed state\n" },
        { "set",
          "set customer CUSTOMER rate REQUESTS_PER_SECOND burst REQUESTS\n"
          "set service SERVICE keyed|open [timeout MS] [shift-cap PERCENT] [shift-interval MS] [region-limit PERCENT]\n"
          "set target TARGET service SERVICE region REGION zone ZONE address IP:PORT slots N [connections N]\n"
          "set region REGION [fallbacks REGION,REGION]\n"
          "set block IP/BITS region REGION\n" },
        { "grant",
          "grant key KEYID customer CUSTOMER hash SHA256\n"
          "  sapphirectl also takes 'grant key KEYID customer CUSTOMER': it generates the secret, sends only its hash "
          "and prints the key once.\n" },
        { "withdraw",
          "withdraw key KEYID\n  Works during an outage of the store. A withdrawn key id can't be used again.\n" },
        { "drain", "drain target TARGET | undrain target TARGET | remove target TARGET\n" },
    };
    const auto found = topics.find(topic);
    if (found != topics.end()) {
        return found->second;
    }
    std::string text;
    for (const auto &[name, help] : topics) {
        text += help;
    }
    text += "help [TOPIC]\nA change may end with 'if-unchanged-since VERSION': it is then rejected as a conflict "
            "if the object was changed after this version.\n";
    return text;
}

} // namespace Sapphire
