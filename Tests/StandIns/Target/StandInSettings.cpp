#include <StandIns/Target/StandInSettings.h>

#include <LibCore/SettingsReader.h>

namespace Sapphire {

namespace {

constexpr Milliseconds longestTime { 3'600'000 };
constexpr std::int64_t mostSlots = 100'000;
constexpr double largestFactor = 1000;

Microseconds time(SettingsReader &reader, const std::string &name, Microseconds defaultValue)
{
    const auto wholeDefault = std::chrono::duration_cast<Milliseconds>(defaultValue);
    return reader.milliseconds(name, Milliseconds::zero(), longestTime, wholeDefault);
}

StandInTargetSettings parseTarget(SettingsReader &reader)
{
    StandInTargetSettings target;
    target.id = reader.requiredText("id");
    target.service = reader.requiredText("service");
    target.address = reader.requiredText("address");
    target.slots = static_cast<int>(reader.integer("slots", 1, mostSlots, target.slots));
    target.connectionLimit = static_cast<int>(reader.integer("connectionLimit", 1, mostSlots, target.connectionLimit));
    target.serviceTime = time(reader, "serviceTimeMs", target.serviceTime);
    target.connectionCost = time(reader, "connectionCostMs", target.connectionCost);
    target.coldFactor = reader.number("coldFactor", 1, largestFactor, target.coldFactor);
    target.coldTime = time(reader, "coldTimeMs", target.coldTime);
    target.idleTime = time(reader, "idleTimeMs", target.idleTime);
    reader.rejectUnknownMembers();
    return target;
}

} // namespace

Result<StandInSettings> StandInSettings::parse(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    StandInSettings settings;
    settings.controlAddress = reader.text("controlAddress", settings.controlAddress);
    settings.secrets = reader.texts("secrets");
    for (SettingsReader &target : reader.objects("targets")) {
        settings.targets.push_back(parseTarget(target));
    }
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

} // namespace Sapphire
