#include <LibPeer/PeerVms.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

const Fingerprint crashing("f1");
// A broadcast and its repeats are over after this time.
constexpr Milliseconds broadcastTime { 3'500 };

Locality placeIn(const std::string &region)
{
    return { RegionId(region), AvailabilityZoneId(region + "-a") };
}

} // namespace

TEST_CASE("A VM that starts after a request became a crash suspect refuses it, too")
{
    // Guards against a request that crashes a target for each VM that starts or returns after the broadcast.
    PeerVms vms({ placeIn("cuyo"), placeIn("cuyo"), placeIn("norte") });
    vms.start(vms.vms()[0]);
    PeerVm &first = vms.vms()[0];
    first.suspects.noteDeath({ crashing }, true, vms.now());
    first.network->broadcastSuspect(first.suspects.worst(1, vms.now()).front());
    vms.runFor(broadcastTime);
    for (const std::size_t late : { 1U, 2U }) {
        vms.start(vms.vms()[late]);
        vms.introduce();
        CAPTURE(late);
        CHECK(vms.runUntil([&] {
            return vms.vms()[late].suspects.isRefused(crashing, false, vms.now());
        }));
    }
}
