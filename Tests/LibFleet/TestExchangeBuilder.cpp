#include "FleetMeasurement.h"

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr std::uint64_t seed = 20261204;

}

TEST_CASE("a fleet of 20 VMs in 6 zones stays within its traffic limit and spreads a change in time")
{
    // Guards against a protocol that meets its limits in large fleets only.
    INFO("seed " << seed);
    FleetSimulation fleet(20, 3, 2, seed);
    reportTargets(fleet, 15, 3, 2);
    fleet.takeList();
    measure(fleet, "20 VMs in 6 zones");
}

TEST_CASE("lost responses cause no suspicion and no lost change")
{
    // Guards against items that count as delivered before the peer has acknowledged them.
    INFO("seed " << seed);
    FleetSimulation fleet(24, 3, 2, seed);
    fleet.takeList();
    fleet.runFor(Milliseconds(8'000));
    fleet.loss = 0.1;
    std::size_t falseSuspicions = 0;
    for (int round = 0; round < 10; ++round) {
        fleet.vms[static_cast<std::size_t>(round)]->configuration.addEntry();
        fleet.runFor(Milliseconds(1'000));
        falseSuspicions += fleet.falseSuspicions();
    }
    fleet.runUntil(
        [&] {
            return isConfirmed(fleet, 1);
        },
        Milliseconds(10'000));
    CHECK(isConfirmed(fleet, 1));
    CHECK(falseSuspicions == 0);
}

TEST_CASE("a VM that stops becomes suspect everywhere and is left out of the rings")
{
    // Guards against look-ups that return dead VMs, and against rings that a dead VM interrupts.
    INFO("seed " << seed);
    FleetSimulation fleet(24, 3, 2, seed);
    fleet.takeList();
    fleet.runFor(Milliseconds(8'000));
    fleet.vms[4]->isDown = true;
    const Milliseconds detection = fleet.runUntil(
        [&] {
            return fleet.areStoppedSuspected();
        },
        Milliseconds(10'000));
    MESSAGE("a stopped VM is suspect everywhere after " << detection.count() << " ms");
    CHECK(detection <= Milliseconds(6'500));
    CHECK(fleet.falseSuspicions() == 0);
}

TEST_CASE("the loss of an availability zone is detected and does not stop the others")
{
    // Guards against a zone whose loss goes unnoticed, since only its own VMs report on it.
    INFO("seed " << seed);
    FleetSimulation fleet(24, 3, 2, seed);
    fleet.takeList();
    fleet.runFor(Milliseconds(8'000));
    for (std::size_t i = 1; i < fleet.vms.size(); i += 6) {
        fleet.vms[i]->isDown = true;
    }
    const Milliseconds detection = fleet.runUntil(
        [&] {
            return fleet.areStoppedSuspected();
        },
        Milliseconds(10'000));
    MESSAGE("a lost zone is suspect everywhere after " << detection.count() << " ms");
    CHECK(detection <= Milliseconds(6'000));
    CHECK(fleet.falseSuspicions() == 0);
    fleet.vms[0]->configuration.addEntry();
    const Milliseconds spread = fleet.runUntil(
        [&] {
            return isUpToDate(fleet, 1);
        },
        Milliseconds(10'000));
    CHECK(spread < Milliseconds(5'000));
}

TEST_CASE("a partitioned region is found again and catches up")
{
    // Guards against suspects that are never tried again, so that the fleet stays partitioned after the network
    // recovers.
    INFO("seed " << seed);
    FleetSimulation fleet(24, 3, 2, seed);
    fleet.takeList();
    fleet.runFor(Milliseconds(8'000));
    const RegionId cut("region-2");
    fleet.isConnected = [&](const Locality &from, const Locality &to) {
        return (from.region == cut) == (to.region == cut);
    };
    fleet.vms[0]->configuration.addEntry();
    fleet.runFor(Milliseconds(6'000));
    const auto isAcross = [&](const FleetSimulation::Vm &vm, const RosterVm &entry) {
        return (vm.membership.locality().region == cut) != (entry.locality.region == cut);
    };
    CHECK(fleet.count([&](const auto &vm, const RosterVm &entry) {
        return isAcross(vm, entry) && !entry.isSuspect;
    }) == 0);
    CHECK(fleet.count([&](const auto &vm, const RosterVm &entry) {
        return !isAcross(vm, entry) && entry.isSuspect;
    }) == 0);
    CHECK_FALSE(isUpToDate(fleet, 1));

    fleet.isConnected = [](const Locality &, const Locality &) {
        return true;
    };
    const Milliseconds healing = fleet.runUntil(
        [&] {
            return isUpToDate(fleet, 1) && fleet.falseSuspicions() == 0;
        },
        Milliseconds(15'000));
    MESSAGE("the end of a partition is detected after " << healing.count() << " ms");
    CHECK(healing <= Milliseconds(5'000));
}

TEST_CASE("a VM that restarts with empty state is known by its new incarnation and catches up")
{
    // Guards against a version that the old process confirmed and that is attributed to the new process.
    INFO("seed " << seed);
    FleetSimulation fleet(24, 3, 2, seed);
    fleet.takeList();
    fleet.vms[0]->configuration.addEntry();
    fleet.runFor(Milliseconds(8'000));
    REQUIRE(isConfirmed(fleet, 1));

    const std::size_t index = 7;
    fleet.start(index, Incarnation(2));
    fleet.vms[index]->membership.takeList(fleet.list, fleet.now);
    const auto countFalseConfirmations = [&] {
        return fleet.count([&](const auto &vm, const RosterVm &entry) {
            const bool isRestarted = entry.process.vm == fleet.list[index].vm;
            const auto &restarted = *fleet.vms[index];
            return &vm != &restarted && isRestarted && entry.process.incarnation == Incarnation(2)
                && entry.confirmedVersion > restarted.configuration.version();
        });
    };
    std::size_t falseConfirmations = 0;
    for (int step = 0; step < 60; ++step) {
        fleet.runFor(Milliseconds(100));
        falseConfirmations += countFalseConfirmations();
    }
    CHECK(falseConfirmations == 0);
    CHECK(isConfirmed(fleet, 1));
    CHECK(fleet.count([&](const auto &, const RosterVm &entry) {
        return entry.process.vm == fleet.list[index].vm && entry.process.incarnation != Incarnation(2);
    }) == 0);
    // A VM that has just started doesn't send a summary of its zone, so the others are not taken for suspects.
    CHECK(fleet.falseSuspicions() == 0);
}

TEST_CASE("withdrawals spread with the statements and every VM learns which VMs know them")
{
    // Guards against store outages in which it is not known where a withdrawal is in force.
    INFO("seed " << seed);
    FleetSimulation fleet(24, 3, 2, seed);
    fleet.takeList();
    fleet.runFor(Milliseconds(8'000));
    const KeyId key("key-1");
    fleet.vms[3]->configuration.takeWithdrawals({ key });
    const Milliseconds spread = fleet.runUntil(
        [&] {
            return fleet.count([&](const auto &, const RosterVm &entry) {
                return !entry.knownWithdrawals.contains(key);
            }) == 0;
        },
        Milliseconds(10'000));
    MESSAGE("every VM knows that all VMs know a withdrawal after " << spread.count() << " ms");
    CHECK(spread < Milliseconds(6'000));
}

TEST_CASE("a VM that needs entries that are no longer kept is told to fetch a snapshot")
{
    // Guards against a VM that waits forever for entries that no VM keeps.
    FleetSimulation fleet(2, 1, 1, seed);
    fleet.takeList();
    fleet.vms[0]->configuration.setVersion(ConfigurationVersion(500));
    const PeerCandidate peer { fleet.list[0].vm, fleet.list[0].locality, false };
    const auto request = fleet.vms[1]->exchange.request(peer, fleet.now);
    const auto response = capture([&] {
        return fleet.vms[0]->exchange.answer(request, fleet.now);
    });
    REQUIRE(response);
    const auto isSnapshotNeeded = capture([&] {
        return fleet.vms[1]->exchange.takeResponse(peer.vm, response.value(), fleet.now, fleet.now);
    });
    REQUIRE(isSnapshotNeeded);
    CHECK(isSnapshotNeeded.value());
}

TEST_CASE("a malformed message is rejected as a whole")
{
    // Guards against partially merged messages, and against crashes on messages of another release or an unknown
    // sender.
    FleetSimulation fleet(2, 1, 1, seed);
    fleet.takeList();
    const PeerCandidate peer { fleet.list[0].vm, fleet.list[0].locality, false };
    const wire::ExchangeRequest valid = fleet.vms[1]->exchange.request(peer, fleet.now);
    const auto isAccepted = [&](const wire::ExchangeRequest &request) {
        return static_cast<bool>(capture([&] {
            return fleet.vms[0]->exchange.answer(request, fleet.now);
        }));
    };
    CHECK_FALSE(isAccepted({}));

    wire::ExchangeRequest request = valid;
    request.mutable_update()->mutable_members_alive()->add_keys(7);
    request.mutable_update()->mutable_own()->add_withdrawals("key-1");
    CHECK_FALSE(isAccepted(request));
    CHECK(fleet.vms[0]->configuration.withdrawals().empty());

    request = valid;
    request.mutable_update()->add_members()->mutable_process()->set_vm("vm-9");
    CHECK_FALSE(isAccepted(request));

    request = valid;
    request.mutable_update()->add_entries()->set_version(1);
    CHECK_FALSE(isAccepted(request));
    CHECK(isAccepted(valid));
}
