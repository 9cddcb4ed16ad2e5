#include <LibPeer/PeerVms.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

// An update that is forwarded in a loop would arrive again within this time.
constexpr Milliseconds repeatWindow { 1'000 };

std::vector<Locality> twoZones(int vmsPerZone)
{
    std::vector<Locality> places;
    for (const char *zone : { "cuyo-a", "cuyo-b" }) {
        places.insert(places.end(), vmsPerZone, { RegionId("cuyo"), AvailabilityZoneId(zone) });
    }
    return places;
}

/// Starts all VMs with settings by which their region counts as large, and waits until they know each other.
void startLargeRegion(PeerVms &region)
{
    VmRosterSettings settings;
    settings.heartbeats = { 2, 1 };
    for (PeerVm &vm : region.vms()) {
        region.start(vm, settings);
    }
    region.introduce();
    region.runUntil([&region] {
        return std::all_of(region.vms().begin(), region.vms().end(), [&region](const PeerVm &vm) {
            return vm.roster->serving(region.now()).size() == region.vms().size();
        });
    });
}

/// Broadcasts an update of the targets from the first VM and returns it.
SourceUpdate broadcastTargets(PeerVms &region)
{
    SourceUpdate update;
    update.kind = SourceKind::Targets;
    update.digest = 7;
    update.readAt = region.now();
    region.vms().front().network->broadcastUpdate(update);
    return update;
}

} // namespace

TEST_CASE("No VM sends a document to more than a few others, and all VMs receive it")
{
    // Guards against copies that the link of a small VM drops, since all of them are sent at once.
    constexpr std::size_t mostCopies = 4;
    PeerVms region(twoZones(20));
    startLargeRegion(region);
    SourceUpdate update;
    update.digest = 7;
    update.readAt = region.now();
    update.document = "document";
    region.vms().front().network->broadcastDocument(update);
    CHECK(region.runUntil([&region] {
        return std::all_of(region.vms().begin() + 1, region.vms().end(), [](const PeerVm &vm) {
            return std::any_of(vm.received.begin(), vm.received.end(), [](const SourceUpdate &received) {
                return received.document == "document";
            });
        });
    }));
    for (const PeerVm &vm : region.vms()) {
        CAPTURE(vm.record.vm);
        CHECK(vm.network->statistics().sentDocuments <= mostCopies);
    }
}

TEST_CASE("Every VM of a large region receives an update once and knows its origin, also through a relay")
{
    // Guards against VMs of another availability zone that miss the update, take the relay for the reader, or forward
    // the update in a loop.
    PeerVms region(twoZones(4));
    startLargeRegion(region);
    broadcastTargets(region);
    const auto haveReceived = [&region] {
        return std::all_of(region.vms().begin() + 1, region.vms().end(), [](const PeerVm &vm) {
            return !vm.received.empty();
        });
    };
    CHECK(region.runUntil(haveReceived));
    region.runFor(repeatWindow);
    for (std::size_t i = 1; i < region.vms().size(); ++i) {
        CAPTURE(i);
        REQUIRE(region.vms()[i].received.size() == 1);
        CHECK(region.vms()[i].received.front().origin == VmId("vm-0"));
        CHECK(region.vms()[i].received.front().digest == 7);
    }
}

TEST_CASE("An update that waited while its receiver stood still isn't taken for a newer one than it is")
{
    // Guards against a VM that tells an old list as confirmed now, since it has just taken it from its socket.
    PeerVms region(twoZones(2));
    startLargeRegion(region);
    const SourceUpdate update = broadcastTargets(region);
    // All VMs of the test share a thread.
    std::this_thread::sleep_for(Milliseconds(800));
    REQUIRE(region.runUntil([&region] {
        return !region.vms()[1].received.empty();
    }));
    CHECK(region.vms()[1].received.front().readAt <= update.readAt);
}
