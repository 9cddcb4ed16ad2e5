#include <LibDaemon/DaemonSettings.h>

#include <LibCore/Ipv4Endpoint.h>
#include <LibSteering/ClientBlocks.h>

#include <fstream>
#include <sstream>

namespace Sapphire {

namespace {

constexpr std::int64_t highestPort = 65'535;
constexpr std::int64_t mostThreads = 10'000;
constexpr std::int64_t mostBodyBytesLimit = 1LL << 40U;
constexpr Milliseconds longestInterval { 3'600'000 };

bool isEndpoint(const std::string &text)
{
    return static_cast<bool>(capture([&text] {
        return Ipv4Endpoint::parse(text);
    }));
}

std::string readEndpoint(SettingsReader &reader, const std::string &name)
{
    std::string value = reader.requiredText(name);
    if (!value.empty() && !isEndpoint(value)) {
        reader.reject(name, value, "an address of the form ip:port");
    }
    return value;
}

void readIdentity(SettingsReader &reader, DaemonSettings &settings)
{
    settings.vm = VmId(reader.requiredText("vm"));
    settings.locality = { RegionId(reader.requiredText("region")),
                          AvailabilityZoneId(reader.requiredText("availabilityZone")) };
    settings.address = reader.requiredText("address");
    if (!settings.address.empty() && !AddressPrefix::parse(settings.address)) {
        reader.reject("address", settings.address, "an IPv4 address");
    }
    settings.callerPort = static_cast<std::uint16_t>(reader.requiredInteger("callerPort", 1, highestPort));
    settings.fleetPort = static_cast<std::uint16_t>(reader.requiredInteger("fleetPort", 1, highestPort));
    settings.operatorPort = static_cast<std::uint16_t>(reader.requiredInteger("operatorPort", 1, highestPort));
    settings.operatorToken = reader.requiredText("operatorToken");
    settings.platformAddress = readEndpoint(reader, "platformAddress");
}

void readSeedVms(SettingsReader &reader, DaemonSettings &settings)
{
    for (SettingsReader &seed : reader.objects("seedVms")) {
        ListedVm vm;
        vm.vm = VmId(seed.requiredText("vm"));
        vm.locality = { RegionId(seed.requiredText("region")),
                        AvailabilityZoneId(seed.requiredText("availabilityZone")) };
        vm.endpoints.address = seed.requiredText("address");
        vm.endpoints.callerPort = static_cast<std::uint16_t>(seed.requiredInteger("callerPort", 1, highestPort));
        vm.endpoints.fleetPort = static_cast<std::uint16_t>(seed.requiredInteger("fleetPort", 1, highestPort));
        if (!vm.endpoints.address.empty() && !AddressPrefix::parse(vm.endpoints.address)) {
            seed.reject("address", vm.endpoints.address, "an IPv4 address");
        }
        seed.rejectUnknownMembers();
        settings.seedVms.push_back(vm);
    }
}

void readAddressMap(SettingsReader &reader, DaemonSettings &settings)
{
    if (!reader.has("addressMap")) {
        return;
    }
    SettingsReader map = reader.object("addressMap");
    for (const std::string &name : map.memberNames()) {
        const std::string translated = readEndpoint(map, name);
        if (!isEndpoint(name)) {
            map.reject(name, name, "an address of the form ip:port as the member's name");
        }
        settings.addressMap[name] = translated;
    }
}

void readLog(SettingsReader &reader, DaemonSettings &settings)
{
    settings.log.file = reader.text("logFile", "");
    const std::string least = reader.text("logSeverity", "info");
    static const std::map<std::string, Severity> severities { { "debug", Severity::Debug },
                                                              { "info", Severity::Info },
                                                              { "warning", Severity::Warning },
                                                              { "error", Severity::Error } };
    const auto found = severities.find(least);
    if (found == severities.end()) {
        reader.reject("logSeverity", least, "debug, info, warning or error");
    } else {
        settings.log.least = found->second;
    }
    settings.traceFile = reader.text("traceFile", "");
}

void readCallerLimits(SettingsReader &reader, DaemonSettings &settings)
{
    settings.lookUpTimeToLive = reader.milliseconds("lookUpTimeToLiveMilliseconds", Milliseconds(100), longestInterval,
                                                    settings.lookUpTimeToLive);
    settings.mostConnections =
        static_cast<int>(reader.integer("mostConnections", 1, mostThreads, settings.mostConnections));
    settings.headTimeout =
        reader.milliseconds("headTimeoutMilliseconds", Milliseconds(100), longestInterval, settings.headTimeout);
    settings.mostBodyBytes = static_cast<std::uint64_t>(
        reader.integer("mostBodyBytes", 1, mostBodyBytesLimit, static_cast<std::int64_t>(settings.mostBodyBytes)));
    settings.lingerTime = reader.milliseconds("lingerMilliseconds", Milliseconds(0), longestInterval,
                                              settings.lookUpTimeToLive + Milliseconds(1'000));
    settings.stopTimeout =
        reader.milliseconds("stopTimeoutMilliseconds", Milliseconds(0), longestInterval, settings.stopTimeout);
}

void readSlotPolicy(SettingsReader &reader, DaemonSettings &settings)
{
    const std::string policy = reader.text("slotPolicy", "optimistic");
    if (policy == "divided") {
        settings.slotPolicy = SlotPolicy::Divided;
    } else if (policy != "optimistic") {
        reader.reject("slotPolicy", policy, "optimistic or divided");
    }
}

} // namespace

Result<DaemonSettings> DaemonSettings::parse(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    DaemonSettings settings;
    readIdentity(reader, settings);
    readSeedVms(reader, settings);
    readAddressMap(reader, settings);
    readLog(reader, settings);
    readCallerLimits(reader, settings);
    readSlotPolicy(reader, settings);
    if (reader.has("limits")) {
        SettingsReader limits = reader.object("limits");
        settings.limits = LimitSettings::read(limits);
    }
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

Result<DaemonSettings> DaemonSettings::load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return fail(ErrorCode::NotFound, "settings file " + file + " can't be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str());
}

} // namespace Sapphire
