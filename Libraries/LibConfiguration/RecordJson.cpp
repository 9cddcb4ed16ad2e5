#include <LibConfiguration/RecordJson.h>

namespace Sapphire::RecordJson {

namespace {

Share shareFrom(SettingsReader &reader, const std::string &name)
{
    return Share(reader.requiredInteger(name, 0, wholeShare.value()));
}

Milliseconds millisecondsFrom(SettingsReader &reader, const std::string &name)
{
    return Milliseconds(reader.requiredInteger(name, 0, largestInteger));
}

} // namespace

Poco::JSON::Array::Ptr regionsToJson(const std::vector<RegionId> &regions)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const RegionId &region : regions) {
        array->add(region.text());
    }
    return array;
}

std::vector<RegionId> regionsFrom(SettingsReader &reader, const std::string &name)
{
    if (!reader.has(name)) {
        reader.reject(name, "nothing", "an array of texts");
    }
    std::vector<RegionId> regions;
    for (const std::string &region : reader.texts(name)) {
        regions.emplace_back(region);
    }
    return regions;
}

void addService(Poco::JSON::Object &object, const ServiceRecord &service)
{
    object.set("service", service.id.text());
    object.set("openToAll", service.isOpenToAll);
    object.set("defaultTimeoutMs", static_cast<std::int64_t>(service.defaultTimeout.count()));
    object.set("shiftCapPpm", service.shiftCap.value());
    object.set("shiftIntervalMs", static_cast<std::int64_t>(service.shiftInterval.count()));
    object.set("regionLimitPpm", service.regionLimit.value());
}

void addTarget(Poco::JSON::Object &object, const TargetRecord &target)
{
    object.set("target", target.id.text());
    object.set("service", target.service.text());
    object.set("region", target.locality.region.text());
    object.set("availabilityZone", target.locality.availabilityZone.text());
    object.set("address", target.address);
    object.set("slots", target.slots);
    object.set("connectionLimit", target.connectionLimit);
    object.set("drained", target.isDrained);
}

ServiceRecord serviceFrom(SettingsReader &reader)
{
    ServiceRecord service;
    service.id = idFrom<ServiceId>(reader, "service");
    service.isOpenToAll = booleanFrom(reader, "openToAll");
    service.defaultTimeout = millisecondsFrom(reader, "defaultTimeoutMs");
    service.shiftCap = shareFrom(reader, "shiftCapPpm");
    service.shiftInterval = millisecondsFrom(reader, "shiftIntervalMs");
    service.regionLimit = shareFrom(reader, "regionLimitPpm");
    return service;
}

TargetRecord targetFrom(SettingsReader &reader)
{
    TargetRecord target;
    target.id = idFrom<TargetId>(reader, "target");
    target.service = idFrom<ServiceId>(reader, "service");
    target.locality.region = idFrom<RegionId>(reader, "region");
    target.locality.availabilityZone = idFrom<AvailabilityZoneId>(reader, "availabilityZone");
    target.address = reader.requiredText("address");
    target.slots = intFrom(reader, "slots");
    target.connectionLimit = intFrom(reader, "connectionLimit");
    target.isDrained = booleanFrom(reader, "drained");
    return target;
}

} // namespace Sapphire::RecordJson
