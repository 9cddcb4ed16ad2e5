#include <Fakes/EndpointText.h>
#include <StandIns/Store/StoreStandIn.h>
#include <platform/StoreSources.h>

#include <doctest/doctest.h>

using namespace Sapphire;
using namespace Sapphire::Platform;

namespace {

constexpr Milliseconds noWait { 0 };

Deadline soon(Milliseconds time = Milliseconds(1'000))
{
    return Deadline::after(BootClock().now(), time);
}

std::string rulesText(int version)
{
    return "{\"version\":\"0000000" + std::to_string(version) + "\",\"routes\":[],\"services\":[]}";
}

std::string targetText(const std::string &state)
{
    return "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"" + state + "\"}";
}

std::unique_ptr<StoreClient> clientOf(const StoreStandIn &store)
{
    Outcome<std::unique_ptr<StoreClient>> client = capture([&] {
        return StoreClient::create(store.address());
    });
    REQUIRE(client);
    return std::move(client.value());
}

std::uint64_t versionOf(StoreOperatorState &source, Milliseconds wait = noWait)
{
    const Outcome<OperatorState> state = capture([&] {
        return source.next(wait, soon(wait + Milliseconds(1'000)));
    });
    REQUIRE(state);
    return state.value().rules ? state.value().rules->version().value() : 0;
}

} // namespace

TEST_CASE("Rules are followed from version to version, also when the store has dropped its history")
{
    // Guards against a VM that keeps old rules because the store no longer has the changes since then.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState source(*client);
    CHECK(versionOf(source) == 0);
    store.set("op", "config", rulesText(1));
    CHECK(versionOf(source) == 1);
    store.set("op", "config", rulesText(2));
    store.dropHistory();
    CHECK(versionOf(source) == 2);
    store.set("op", "config", "{ broken");
    CHECK(versionOf(source) == 2);
    store.set("op", "config", rulesText(3));
    CHECK(versionOf(source) == 3);
}

TEST_CASE("A newer configuration that can't be read is reported as such until the next one")
{
    // Guards against rules that other VMs take for current because their reader didn't understand what replaces them.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState source(*client);
    const auto isUnreadable = [&] {
        const Outcome<OperatorState> state = capture([&] {
            return source.next(noWait, soon());
        });
        REQUIRE(state);
        return state.value().isConfigurationUnreadable;
    };
    store.set("op", "config", rulesText(1));
    CHECK(!isUnreadable());
    store.set("op", "config", "{ broken");
    CHECK(isUnreadable());
    CHECK(isUnreadable());
    store.set("op", "config", rulesText(2));
    CHECK(!isUnreadable());
}

TEST_CASE("A waiting call returns as soon as a row changes")
{
    // Guards against rules that come into force only at the end of the wait.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState source(*client);
    versionOf(source);
    std::thread writer([&] {
        std::this_thread::sleep_for(Milliseconds(50));
        store.set("op", "config", rulesText(4));
    });
    const TimePoint begin = BootClock().now();
    CHECK(versionOf(source, Milliseconds(5'000)) == 4);
    CHECK(BootClock().now() - begin < Milliseconds(2'000));
    writer.join();
}

TEST_CASE("A zone is evacuated as long as its row exists")
{
    // Guards against a zone that stays evacuated without its row, or is not evacuated in spite of it.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState source(*client);
    store.set("op", "evacuate/cuyo-a", "{}");
    const auto zones = [&] {
        const Outcome<OperatorState> state = capture([&] {
            return source.next(noWait, soon());
        });
        REQUIRE(state);
        return state.value().evacuatedZones;
    };
    CHECK(zones() == std::set { AvailabilityZoneId("cuyo-a") });
    store.remove("op", "evacuate/cuyo-a");
    CHECK(zones().empty());
}

TEST_CASE("Rules are adopted from another VM's source, and later changes follow")
{
    // Guards against a VM that can't reach the store and keeps old rules while other VMs have newer ones.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState reader(*client);
    StoreOperatorState follower(*client);
    store.set("op", "config", rulesText(1));
    store.set("op", "evacuate/cuyo-a", "{\n}");
    const Outcome<OperatorState> read = capture([&] {
        return reader.next(noWait, soon());
    });
    REQUIRE(read);
    const auto adopt = [&](const std::string &document) {
        return capture([&] {
            return follower.adopt(document);
        });
    };
    const Outcome<OperatorState> adopted = adopt(read.value().document);
    REQUIRE(adopted);
    CHECK(adopted.value().rules->version().value() == 1);
    CHECK(adopted.value().evacuatedZones == std::set { AvailabilityZoneId("cuyo-a") });
    CHECK(adopted.value().revision == read.value().revision);
    // An older document changes nothing, and the newer state is returned.
    store.set("op", "config", rulesText(2));
    CHECK(versionOf(follower) == 2);
    const Outcome<OperatorState> kept = adopt(read.value().document);
    REQUIRE(kept);
    CHECK(kept.value().rules->version().value() == 2);
    CHECK(kept.value().revision > read.value().revision);
    CHECK(versionOf(follower) == 2);
}

TEST_CASE("Rules are adopted from another VM while a call to the store is pending")
{
    // Guards against new rules that wait for seconds until a call to the store has ended.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    const std::unique_ptr<StoreClient> otherClient = clientOf(store);
    StoreOperatorState waiting(*client);
    StoreOperatorState other(*otherClient);
    store.set("op", "config", rulesText(1));
    CHECK(versionOf(waiting) == 1);
    // Newer than anything that the store will tell during the call, and of its era, 1.
    const std::string newer = "1000000\n0\n2\n1\n6\nconfig" + std::to_string(rulesText(5).size()) + "\n" + rulesText(5);
    const TimePoint begin = BootClock().now();
    std::thread call([&] {
        CHECK(versionOf(waiting, Milliseconds(1'000)) == 5);
    });
    std::this_thread::sleep_for(Milliseconds(100));
    const Outcome<OperatorState> adopted = capture([&] {
        return waiting.adopt(newer);
    });
    CHECK(BootClock().now() - begin < Milliseconds(800));
    REQUIRE(adopted);
    CHECK(adopted.value().rules->version().value() == 5);
    call.join();
}

TEST_CASE("A truncated or malformed document changes nothing")
{
    // Guards against rules that are lost because another VM sent a malformed datagram.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState source(*client);
    store.set("op", "config", rulesText(1));
    const Outcome<OperatorState> state = capture([&] {
        return source.next(noWait, soon());
    });
    REQUIRE(state);
    StoreOperatorState other(*client);
    const std::string document = state.value().document;
    for (const std::string &broken : { document.substr(0, document.size() - 1), std::string("9\n3\nabc"),
                                       std::string("9\n999999999\n"), std::string("x"), std::string() }) {
        CAPTURE(broken);
        CHECK(!capture([&] {
            return other.adopt(broken);
        }));
    }
    CHECK(versionOf(other) == 1);
}

TEST_CASE("All pages of targets are read, and unreadable entries are left out")
{
    // Guards against a list that ends after its first page.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    const BootClock clock;
    StoreTargetList list(*client, clock);
    for (int i = 0; i < 1'203; ++i) {
        store.set("servers", "i-" + std::to_string(i), targetText(i % 2 == 0 ? "ready" : "draining"));
    }
    store.set("servers", "i-odd", targetText("resting"));
    const Outcome<TargetListing> listing = capture([&] {
        return list.read(soon(Milliseconds(5'000)));
    });
    REQUIRE(listing);
    CHECK(listing.value().targets.size() == 1'203);
}

TEST_CASE("A read fails in bounded time if the store refuses, resets, stays silent or is slow")
{
    // Guards against a thread that waits forever, and against an empty list instead of an error.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    const BootClock clock;
    StoreTargetList list(*client, clock);
    store.set("servers", "i-1", targetText("ready"));
    StoreFaults busy;
    busy.status = 503;
    StoreFaults silent;
    silent.isSilent = true;
    StoreFaults resetting;
    resetting.resetsConnections = true;
    StoreFaults slow;
    slow.delay = Milliseconds(600);
    for (const StoreFaults &faults : { busy, silent, resetting, slow }) {
        store.setFaults(faults);
        const TimePoint begin = clock.now();
        CHECK(!capture([&] {
            return list.read(soon(Milliseconds(300)));
        }));
        CHECK(clock.now() - begin < Milliseconds(900));
    }
    store.setFaults({});
    // The client's circuit breaker allows a trial request after a second.
    std::this_thread::sleep_for(Milliseconds(1'050));
    const Outcome<TargetListing> listing = capture([&] {
        return list.read(soon());
    });
    REQUIRE(listing);
    CHECK(listing.value().targets.size() == 1);
}

TEST_CASE("A VM's record is written even if the answer is lost, and can be removed")
{
    // Guards against a VM that other VMs never discover.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreVmRegistry registry(*client);
    VmRecord record;
    record.vm = VmId("vm-1");
    record.locality = { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    record.callerAddress = endpoint("10.0.0.1:80");
    record.peerAddress = endpoint("10.0.0.1:81");
    StoreFaults losing;
    losing.answersToDrop = 1;
    store.setFaults(losing);
    CHECK(!capture([&] {
        return registry.enter(record, soon(Milliseconds(200)));
    }));
    const auto entered = [&] {
        const Outcome<VmList> list = capture([&] {
            return registry.next(noWait, soon());
        });
        REQUIRE(list);
        return list.value().records;
    };
    REQUIRE(entered().size() == 1);
    CHECK(entered().front().callerAddress == record.callerAddress);
    CHECK(entered().front().locality == record.locality);
    CHECK(capture([&] {
        return registry.leave(record.vm, soon());
    }));
    CHECK(entered().empty());
}

TEST_CASE("A VM's record whose address can't be read names no VM")
{
    // Guards against a record of another writer that ends every process that sends a datagram to it.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    const auto record = [](const std::string &callerAddress, const std::string &peerAddress) {
        return R"({"region":"cuyo","availabilityZone":"cuyo-a","callerAddress":")" + callerAddress
            + R"(","peerAddress":")" + peerAddress + "\"}";
    };
    store.set("vms", "sound", record("10.0.0.1:80", "10.0.0.1:7600"));
    store.set("vms", "octal-peer", record("10.0.0.1:80", "10.0.0.08:7600"));
    store.set("vms", "octal-caller", record("10.0.0.08:80", "10.0.0.1:7600"));
    store.set("vms", "no-port", record("10.0.0.1:80", "10.0.0.1"));
    store.set("vms", "host-name", record("10.0.0.1:80", "vm.example:7600"));
    StoreVmRegistry registry(*client);
    const Outcome<VmList> list = capture([&] {
        return registry.next(noWait, soon());
    });
    REQUIRE(list);
    REQUIRE(list.value().records.size() == 1);
    CHECK(list.value().records.front().vm == VmId("sound"));
}

TEST_CASE("Rules are followed after the store has come back from a copy, whatever its version then")
{
    // Guards against a VM that drops lower versions, or misses what was written under versions that it has read.
    for (const int writesBeforeRead : { 0, 50 }) {
        CAPTURE(writesBeforeRead);
        StoreStandIn store;
        const std::unique_ptr<StoreClient> client = clientOf(store);
        StoreOperatorState source(*client);
        store.set("op", "config", rulesText(1));
        const StoreTables copy = store.copy();
        store.set("op", "config", rulesText(2));
        for (int i = 0; i < 20; ++i) {
            store.set("other", "row", std::to_string(i));
        }
        REQUIRE(versionOf(source) == 2);
        store.restore(copy);
        store.set("op", "config", rulesText(3));
        for (int i = 0; i < writesBeforeRead; ++i) {
            store.set("other", "row", std::to_string(i));
        }
        CHECK(versionOf(source) == 3);
        store.set("op", "config", rulesText(4));
        CHECK(versionOf(source) == 4);
    }
}

TEST_CASE("A document of another VM is newer if its era is, and older if its era is")
{
    // Guards against rules of the time before a return from a copy that replace later ones, or that aren't replaced.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState before(*client);
    StoreOperatorState after(*client);
    const StoreTables copy = store.copy();
    for (int i = 0; i < 20; ++i) {
        store.set("other", "row", std::to_string(i));
    }
    store.set("op", "config", rulesText(1));
    const auto stateOf = [](StoreOperatorState &source) {
        const Outcome<OperatorState> state = capture([&] {
            return source.next(noWait, soon());
        });
        REQUIRE(state);
        return state.value();
    };
    const OperatorState earlier = stateOf(before);
    store.restore(copy);
    store.set("op", "config", rulesText(2));
    const OperatorState later = stateOf(after);
    CHECK(earlier.revision.number() > later.revision.number());
    const auto adopted = [](StoreOperatorState &source, const std::string &document) {
        const Outcome<OperatorState> state = capture([&] {
            return source.adopt(document);
        });
        REQUIRE(state);
        return state.value().rules->version().value();
    };
    CHECK(adopted(after, earlier.document) == 2);
    CHECK(adopted(before, later.document) == 2);
    // A document of the release before has no era.
    CHECK(adopted(before, "1000000\n") == 2);
}

TEST_CASE("An answer of the store without a usable era changes nothing")
{
    // Guards against rules of an earlier era, or of none, that come into force.
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    StoreOperatorState source(*client);
    store.set("op", "config", rulesText(1));
    store.setEra("5");
    REQUIRE(versionOf(source) == 1);
    store.set("op", "config", rulesText(2));
    for (const std::optional<std::string> &era :
         { std::optional<std::string>(), std::optional<std::string>("none"), std::optional<std::string>("4") }) {
        store.setEra(era);
        CHECK(!capture([&] {
            return source.next(noWait, soon());
        }));
    }
    store.setEra("5");
    CHECK(versionOf(source) == 2);
}

TEST_CASE("A table that is read in several pages is of one era")
{
    // Guards against a list of which one half is from before the store's return from a copy, the other from after it.
    constexpr int rows = 600;
    StoreStandIn store;
    const std::unique_ptr<StoreClient> client = clientOf(store);
    const StoreTables empty = store.copy();
    const auto fill = [&](const std::string &content) {
        for (int i = 0; i < rows; ++i) {
            store.set("t", std::to_string(i), content);
        }
    };
    fill("later");
    const StoreTables copy = store.copy();
    store.restore(empty);
    fill("earlier");
    StoreFaults slow;
    slow.delay = Milliseconds(200);
    store.setFaults(slow);
    std::thread drill([&] {
        std::this_thread::sleep_for(Milliseconds(300));
        store.restore(copy);
    });
    const Outcome<StoreRows> read = capture([&] {
        return client->readAll("t", soon(Milliseconds(5'000)));
    });
    drill.join();
    REQUIRE(read);
    CHECK(read.value().rows.size() == rows);
    CHECK(read.value().revision.epoch() == SourceEpoch(3));
    for (const StoreRow &row : read.value().rows) {
        CHECK(row.value == "later");
    }
}
