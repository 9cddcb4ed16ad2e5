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
        object->set("region", vm.locality.region.text());
        object->set("availabilityZone", vm.locality.availabilityZone.text());
        list->add(object);
    }
    return list;
}

} // namespace Sapphire
