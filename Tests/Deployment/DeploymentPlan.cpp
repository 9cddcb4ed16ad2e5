#include <Deployment/DeploymentPlan.h>

#include <LibCore/SettingsReader.h>

#include <fstream>
#include <iterator>

namespace Sapphire {

namespace {

constexpr std::int64_t maxVms = 100;
constexpr std::int64_t maxTargets = 50;
constexpr std::int64_t maxSlots = 10'000;
constexpr std::int64_t maxMicroseconds = 10'000'000;
constexpr double maxRate = 1e6;

Microseconds readMicroseconds(SettingsReader &reader, const std::string &name)
{
    return Microseconds(reader.integer(name, 0, maxMicroseconds, 0));
}

PlannedRegion readRegion(SettingsReader &reader)
{
    PlannedRegion region { reader.requiredText("name"), reader.texts("fallbacks"), {} };
    for (SettingsReader &zone : reader.objects("zones")) {
        region.zones.push_back({ zone.requiredText("name"), static_cast<int>(zone.requiredInteger("vms", 0, maxVms)) });
        zone.rejectUnknownMembers();
    }
    reader.rejectUnknownMembers();
    return region;
}

PlannedService readService(SettingsReader &reader)
{
    PlannedService service;
    service.name = reader.requiredText("name");
    service.isOpenToAll = reader.requiredText("access") == "open";
    service.targetsPerZone = static_cast<int>(reader.requiredInteger("targetsPerZone", 1, maxTargets));
    service.slots = static_cast<int>(reader.requiredInteger("slots", 1, maxSlots));
    service.connections = static_cast<int>(reader.requiredInteger("connections", 1, maxSlots));
    service.serviceTime = readMicroseconds(reader, "serviceMicroseconds");
    reader.rejectUnknownMembers();
    return service;
}

PlannedNetwork readNetwork(SettingsReader &reader)
{
    PlannedNetwork network;
    network.client = readMicroseconds(reader, "clientMicroseconds");
    network.zone = readMicroseconds(reader, "zoneMicroseconds");
    network.region = readMicroseconds(reader, "regionMicroseconds");
    network.regionMegabitsPerSecond = reader.integer("regionMegabitsPerSecond", 0, maxMicroseconds, 0);
    reader.rejectUnknownMembers();
    return network;
}

} // namespace

Result<DeploymentPlan> DeploymentPlan::load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return fail(ErrorCode::NotFound, "deployment file " + file + " can't be read");
    }
    const std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    DeploymentPlan plan;
    plan.name = reader.requiredText("name");
    plan.storeRegion = reader.requiredText("storeRegion");
    SettingsReader network = reader.object("network");
    plan.network = readNetwork(network);
    for (SettingsReader &region : reader.objects("regions")) {
        plan.regions.push_back(readRegion(region));
    }
    for (SettingsReader &service : reader.objects("services")) {
        plan.services.push_back(readService(service));
    }
    for (SettingsReader &customer : reader.objects("customers")) {
        plan.customers.push_back({ customer.requiredText("name"), customer.number("rate", 0, maxRate, 0),
                                   customer.number("burst", 0, maxRate, 0) });
        customer.rejectUnknownMembers();
    }
    reader.rejectUnknownMembers();
    BOOST_LEAF_CHECK(reader.finish());
    return plan;
}

} // namespace Sapphire
