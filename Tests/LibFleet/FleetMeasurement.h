#pragma once

#include "FleetSimulation.h"

#include <doctest/doctest.h>

namespace Sapphire {

/// Makes two observers report on each target of the first region with randomly changing loads, and each VM report the
/// slot usage of its region. To save time, there are no target reports in the other regions, whose traffic is not
/// measured.
inline void reportTargets(FleetSimulation &fleet, std::size_t targets, std::size_t regionCount,
                          std::size_t zonesPerRegion)
{
    fleet.beforeTick = [=, &fleet](FleetSimulation::Vm &vm, std::size_t index, TimePoint at) {
        const RegionId &region = vm.membership.locality().region;
        for (const char *service : { "status", "booking", "archive" }) {
            vm.reports.takeUsage({ region, ServiceId(service), at, 90, static_cast<int>(fleet.random.below(30)) }, at);
        }
        const std::size_t zones = regionCount * zonesPerRegion;
        if (index % zones >= zonesPerRegion) {
            return;
        }
        const std::size_t regionVms = fleet.vms.size() / regionCount;
        const std::size_t position = index / zones * zonesPerRegion + index % zones;
        for (std::size_t target = 0; target < targets; ++target) {
            const std::size_t observer = target * 2 % regionVms;
            if (position != observer && position != (observer + 1) % regionVms) {
                continue;
            }
            TargetReport report;
            report.target = TargetId(region.text() + "-target-" + std::to_string(target));
            report.observer = vm.membership.self().vm;
            report.observedAt = at;
            report.slots = 6;
            report.inFlight = static_cast<int>(fleet.random.below(7));
            report.latency = Microseconds(2'000);
            vm.reports.takeReport(report, at);
        }
    };
}

inline bool isUpToDate(const FleetSimulation &fleet, std::uint64_t version)
{
    return fleet.allHaveVersion(ConfigurationVersion(version));
}

/// Returns whether every running VM knows that all running VMs have confirmed the version.
inline bool isConfirmed(const FleetSimulation &fleet, std::uint64_t version)
{
    return fleet.count([&](const FleetSimulation::Vm &, const RosterVm &entry) {
        const bool isDown = fleet.vms[fleet.indexes.at(entry.process.vm)]->isDown;
        return !isDown && entry.confirmedVersion.value() < version;
    }) == 0;
}

/// Runs a fleet, and prints and checks its calls, its traffic and the time that a change takes to spread.
inline void measure(FleetSimulation &fleet, const std::string &name)
{
    const RegionId region("region-0");
    constexpr double changesPerSecond = 3'300.0 / 86'400.0;
    // Overhead of HTTP/2 and gRPC for each side of a call: 209 bytes were measured on the connection for messages of
    // 102 bytes.
    constexpr double framingBytes = 107;
    constexpr double quietSeconds = 2;
    fleet.runFor(Milliseconds(6'000));
    CHECK(fleet.falseSuspicions() == 0);
    fleet.resetCounts();
    fleet.runFor(Milliseconds(2'000));
    const double quiet = fleet.meanBytes(region) / quietSeconds;
    const double most = fleet.mostBytes() / quietSeconds;
    const double calls = fleet.meanCalls() / quietSeconds;

    fleet.resetCounts();
    fleet.vms[17]->configuration.addEntry();
    const Milliseconds spread = fleet.runUntil(
        [&] {
            return isUpToDate(fleet, 1);
        },
        Milliseconds(14'000));
    const Milliseconds known = spread
        + fleet.runUntil(
            [&] {
                return isConfirmed(fleet, 1);
            },
            Milliseconds(14'000));
    const double perChange = fleet.meanBytes(region) - quiet * static_cast<double>(known.count()) / 1'000.0;
    const double total = quiet + perChange * changesPerSecond + 2 * calls * framingBytes;
    MESSAGE(name << ": " << calls << " calls/s a VM; sent and received bytes/s a VM: mean " << quiet
                 << " without changes, " << total << " with 3,300 changes a day and framing, most " << most
                 << "; one change " << perChange << " bytes a VM, applied everywhere after " << spread.count()
                 << " ms, confirmation known everywhere after " << known.count() << " ms");
    CHECK(calls < 12);
    CHECK(total < 10'000);
    CHECK(spread < Milliseconds(5'000));
    CHECK(known < Milliseconds(8'000));
    CHECK(fleet.malformed == 0);
}

} // namespace Sapphire
