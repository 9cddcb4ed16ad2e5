#include "FleetNode.h"

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("Gossiper makes VMs of two regions know each other and spreads entries")
{
    // Guards against incompatible messages between the client and the server.
    FleetNodes fleet =
        startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-b" }, { "pampa", "pampa-a" } });
    fleet[0].configuration.addEntry();
    for (int round = 0; round < 6; ++round) {
        for (const auto &node : fleet.nodes) {
            node->tick();
        }
    }
    for (const auto &node : fleet.nodes) {
        CHECK(node->configuration.version() == ConfigurationVersion(1));
        const std::vector<RosterVm> roster = node->membership.vms(node->clock.now());
        CHECK(roster.size() == 4);
        for (const RosterVm &vm : roster) {
            CHECK(vm.process.incarnation == Incarnation(1));
            CHECK_FALSE(vm.isSuspect);
            CHECK(vm.confirmedVersion == ConfigurationVersion(1));
        }
        CHECK(node->configuration.newestStatements(node->clock.now()).size() == 2);
    }
}

TEST_CASE("Gossiper fetches a snapshot when entries are no longer kept")
{
    // Guards against a VM that starts during a store outage and can't catch up, since peers keep only newer entries.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" } });
    fleet[0].configuration.setVersion(ConfigurationVersion(500));
    fleet[1].tick();
    CHECK(waitUntil(
        [&] {
            return fleet[1].configuration.version() == ConfigurationVersion(500);
        },
        Milliseconds(2'000)));
}

TEST_CASE("a peer that never answers does not delay the others")
{
    // Guards against one silent VM that delays the round, so that other VMs become suspect.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" } });
    SilentProxy proxy(fleet[1].port);
    proxy.silenceAll();
    const ListedVm silentVm { VmId("vm-silent"), fleet[0].locality, { "127.0.0.1", 80, proxy.port() }, false };
    fleet[0].membership.takeList({ fleet[0].listed(), fleet[1].listed(), silentVm }, fleet[0].clock.now());
    fleet[1].configuration.addEntry();
    const TimePoint begin = fleet[0].clock.now();
    fleet[0].tick();
    CHECK(fleet[0].clock.now() - begin < Milliseconds(1'000));
    CHECK(fleet[0].configuration.version() == ConfigurationVersion(1));
}

TEST_CASE("a connection on which nothing arrives any more is replaced")
{
    // Guards against network faults that permanently block open connections while new ones work.
    auto server = std::make_unique<FleetNode>("vm-0", "cuyo", "cuyo-a");
    SilentProxy proxy(server->port);
    const std::map<std::string, std::string> addressMap { { "127.0.0.1:" + std::to_string(server->port),
                                                            "127.0.0.1:" + std::to_string(proxy.port()) } };
    std::vector<std::unique_ptr<FleetNode>> nodes;
    nodes.push_back(std::move(server));
    nodes.push_back(std::make_unique<FleetNode>("vm-1", "cuyo", "cuyo-a", addressMap));
    FleetNodes fleet(std::move(nodes));
    fleet[1].tick();
    REQUIRE(fleet[1].membership.vms(fleet[1].clock.now()).size() == 2);

    proxy.silenceOpenConnections();
    fleet[0].configuration.addEntry();
    const TimePoint begin = fleet[1].clock.now();
    for (int round = 0; round < 4 && fleet[1].configuration.version() == ConfigurationVersion(0); ++round) {
        fleet[1].tick();
    }
    CHECK(fleet[1].configuration.version() == ConfigurationVersion(1));
    CHECK(fleet[1].clock.now() - begin < Milliseconds(3'000));
}
