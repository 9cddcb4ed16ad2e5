#include <LibSteering/TargetListEntry.h>

namespace Sapphire {

namespace {

// No target runs more requests at once. With the slots of a faulty entry, a region would seem to have room for all
// requests.
constexpr int mostSlots = 100'000;

} // namespace

std::string_view TargetListEntry::invalidMember() const
{
    if (id.isEmpty()) {
        return "id";
    }
    if (service.isEmpty()) {
        return "service";
    }
    if (address.port() == 0) {
        return "address";
    }
    if (availabilityZone.isEmpty()) {
        return "zone";
    }
    return slots >= 1 && slots <= mostSlots ? "" : "slots";
}

} // namespace Sapphire
