#include <LibPlatform/VmListText.h>

#include <LibCore/EventLog.h>
#include <LibCore/Ipv4Endpoint.h>
#include <LibPlatform/MalformedAnswer.h>

namespace Sapphire {

namespace {

constexpr std::int64_t highestPort = 65535;

Result<std::vector<ListedVm>> readVms(const std::string &text)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create(text));
    if (!reader.has("vms")) {
        // A missing list must not be read as an empty one, which would retire every VM.
        reader.reject("vms", "nothing", "an array of objects");
    }
    std::vector<ListedVm> vms;
    for (SettingsReader &element : reader.objects("vms")) {
        vms.push_back(readListedVm(element));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return vms;
}

} // namespace

Result<std::vector<ListedVm>> parseVmList(const std::string &text)
{
    return requireWellFormed("VM list", capture([&] {
                                 return readVms(text);
                             }));
}

ListedVm readListedVm(SettingsReader &reader)
{
    ListedVm vm;
    vm.vm = VmId(reader.requiredText("id"));
    vm.endpoints.address = reader.requiredText("address");
    std::string_view address = vm.endpoints.address;
    const bool isAddress = takeIpv4Address(address) && address.empty();
    if (!vm.endpoints.address.empty() && !isAddress) {
        reader.reject("address", vm.endpoints.address, "an IPv4 address");
    }
    vm.locality.region = RegionId(reader.requiredText("region"));
    vm.locality.availabilityZone = AvailabilityZoneId(reader.requiredText("availabilityZone"));
    vm.endpoints.callerPort = static_cast<std::uint16_t>(reader.requiredInteger("callerPort", 1, highestPort));
    vm.endpoints.fleetPort = static_cast<std::uint16_t>(reader.requiredInteger("fleetPort", 1, highestPort));
    const std::string state = reader.requiredText("state");
    if (!state.empty() && state != "live" && state != "leaving") {
        reader.reject("state", state, "live or leaving");
    }
    vm.isLeaving = state == "leaving";
    return vm;
}

std::string listedVmText(const ListedVm &vm)
{
    return "{\"id\":" + quoteJson(vm.vm.text()) + ",\"address\":" + quoteJson(vm.endpoints.address)
        + ",\"region\":" + quoteJson(vm.locality.region.text()) + ",\"availabilityZone\":"
        + quoteJson(vm.locality.availabilityZone.text()) + ",\"callerPort\":" + std::to_string(vm.endpoints.callerPort)
        + ",\"fleetPort\":" + std::to_string(vm.endpoints.fleetPort)
        + ",\"state\":" + (vm.isLeaving ? "\"leaving\"" : "\"live\"") + "}";
}

std::string vmListText(const std::vector<ListedVm> &vms)
{
    std::string text = "{\"vms\":[";
    for (const ListedVm &vm : vms) {
        if (text.back() == '}') {
            text += ',';
        }
        text += listedVmText(vm);
    }
    return text + "]}";
}

} // namespace Sapphire
