#include <LibCaller/VmListJson.h>

#include <Poco/JSON/Object.h>

namespace Sapphire {

Poco::JSON::Array::Ptr vmListJson(const std::vector<AlternativeVm> &vms)
{
    Poco::JSON::Array::Ptr list(new Poco::JSON::Array);
    for (const AlternativeVm &vm : vms) {
        Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
        object->set("vm", vm.vm.text());
        object->set("address", vm.callerAddress);
        object->set("region", vm.place.region.text());
        object->set("availabilityZone", vm.place.availabilityZone.text());
        list->add(object);
    }
    return list;
}

} // namespace Sapphire
