#pragma once

#include <LibCore/RandomSource.h>
#include <LibFleet/ExchangeBuilder.h>
#include <LibFleet/PeerSelection.h>
#include <LibFleet/WireCodec.h>

#include "FleetFakes.h"

#include <functional>
#include <memory>

namespace Sapphire {

/// A fleet in one process with simulated time. Each VM has its own state and pulls once a second at its own phase.
class FleetSimulation
{
public:
    struct Vm
    {
        Vm(const VmIncarnation &process, const Locality &locality, const VmEndpoints &endpoints, Microseconds tickPhase)
            : membership(process, locality, endpoints)
            , configuration(process, locality.region)
            , exchange(membership, configuration, reports, suspects)
            , selection(process.vm, locality)
            , phase(tickPhase)
        {
        }

        Membership membership;
        FakeConfigurationExchange configuration;
        FakeTargetReportExchange reports;
        FakeCrashSuspectExchange suspects;
        ExchangeBuilder exchange;
        PeerSelection selection;
        Microseconds phase;
        bool isDown { false };
        std::uint64_t calls { 0 };
        std::uint64_t bytes { 0 }; ///< Sent and received, as client and as server.
    };

    FleetSimulation(std::size_t vmCount, std::size_t regionCount, std::size_t zonesPerRegion, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < vmCount; ++i) {
            const std::size_t zone = i % (regionCount * zonesPerRegion);
            const std::string region = "region-" + std::to_string(zone / zonesPerRegion);
            const Locality locality { RegionId(region),
                                      AvailabilityZoneId(region + "-" + std::to_string(zone % zonesPerRegion)) };
            const VmEndpoints endpoints { "10.0." + std::to_string(i / 256) + "." + std::to_string(i % 256), 80, 81 };
            list.push_back({ VmId("vm-" + std::to_string(i)), locality, endpoints, false });
            vms.push_back(nullptr);
            start(i, Incarnation(1));
        }
    }

    /// Starts a new process of the VM with empty state.
    void start(std::size_t index, Incarnation incarnation)
    {
        const ListedVm &listed = list[index];
        vms[index] = std::make_unique<Vm>(VmIncarnation { listed.vm, incarnation }, listed.locality, listed.endpoints,
                                          Microseconds(random.below(1'000'000)));
        indexes[listed.vm] = index;
    }

    void takeList()
    {
        for (const auto &vm : vms) {
            vm->membership.takeList(list, now);
        }
    }

    /// Runs until the condition holds, which is checked every 100 ms, at most for the limit. Returns the time that it
    /// took.
    Milliseconds runUntil(const std::function<bool()> &condition, Milliseconds limit)
    {
        const TimePoint begin = now;
        while (!condition() && now - begin < limit) {
            runFor(Milliseconds(100));
        }
        return std::chrono::duration_cast<Milliseconds>(now - begin);
    }

    void runFor(Milliseconds interval)
    {
        const Microseconds second = Milliseconds(1'000);
        std::vector<std::pair<Microseconds, std::size_t>> due;
        for (std::size_t i = 0; i < vms.size(); ++i) {
            const Microseconds sinceTick = (now.time_since_epoch() - vms[i]->phase) % second;
            const Microseconds wait = sinceTick == Microseconds(0) ? Microseconds(0) : second - sinceTick;
            for (Microseconds at = wait; at < interval; at += second) {
                due.emplace_back(at, i);
            }
        }
        std::sort(due.begin(), due.end());
        const TimePoint begin = now;
        for (const auto &[at, index] : due) {
            tick(index, begin + at);
        }
        now = begin + interval;
    }

    bool allHaveVersion(ConfigurationVersion version) const
    {
        return std::all_of(vms.begin(), vms.end(), [&](const auto &vm) {
            return vm->isDown || vm->configuration.version() >= version;
        });
    }

    /// Counts the entries that match the filter in the rosters of running VMs. In a large fleet only a sample of the
    /// rosters is searched, spread over all zones.
    std::size_t count(const std::function<bool(const Vm &, const RosterVm &)> &filter) const
    {
        constexpr std::size_t rosterLimit = 40;
        const std::size_t stride = vms.size() <= rosterLimit ? 1 : vms.size() / rosterLimit | 1U;
        std::size_t found = 0;
        for (std::size_t i = 0; i < vms.size(); i += stride) {
            const Vm &vm = *vms[i];
            if (vm.isDown) {
                continue;
            }
            for (const RosterVm &entry : vm.membership.vms(now)) {
                found += filter(vm, entry) ? 1U : 0U;
            }
        }
        return found;
    }

    /// Counts the roster entries by which a running VM is suspect.
    std::size_t falseSuspicions() const
    {
        return count([this](const Vm &, const RosterVm &entry) {
            return entry.isSuspect && !vms[indexes.at(entry.process.vm)]->isDown;
        });
    }

    /// Returns whether every stopped VM is suspect to every running one.
    bool areStoppedSuspected() const
    {
        return count([this](const Vm &, const RosterVm &entry) {
                   return !entry.isSuspect && vms[indexes.at(entry.process.vm)]->isDown;
               })
            == 0;
    }

    void resetCounts()
    {
        for (const auto &vm : vms) {
            vm->calls = 0;
            vm->bytes = 0;
        }
    }

    /// Returns the mean of the bytes sent and received over the VMs of a region.
    double meanBytes(const RegionId &region) const
    {
        std::uint64_t sum = 0;
        std::uint64_t count = 0;
        for (const auto &vm : vms) {
            if (vm->membership.locality().region == region) {
                sum += vm->bytes;
                ++count;
            }
        }
        return static_cast<double>(sum) / static_cast<double>(count);
    }

    double mostBytes() const
    {
        std::uint64_t most = 0;
        for (const auto &vm : vms) {
            most = std::max(most, vm->bytes);
        }
        return static_cast<double>(most);
    }

    double meanCalls() const
    {
        std::uint64_t sum = 0;
        for (const auto &vm : vms) {
            sum += vm->calls;
        }
        return static_cast<double>(sum) / static_cast<double>(vms.size());
    }

    RandomSource random;
    TimePoint now { Milliseconds(1'000'000) };
    std::vector<ListedVm> list;
    std::vector<std::unique_ptr<Vm>> vms;
    std::map<VmId, std::size_t> indexes;
    /// Whether messages from one locality reach another.
    std::function<bool(const Locality &, const Locality &)> isConnected = [](const Locality &, const Locality &) {
        return true;
    };
    /// Called before each tick of a VM.
    std::function<void(Vm &, std::size_t, TimePoint)> beforeTick = [](Vm &, std::size_t, TimePoint) {};
    double loss { 0 }; ///< Fraction of the responses that is lost.
    std::size_t malformed { 0 }; ///< Messages that were rejected.

private:
    void tick(std::size_t index, TimePoint at)
    {
        Vm &vm = *vms[index];
        if (vm.isDown) {
            return;
        }
        beforeTick(vm, index, at);
        for (const PeerCandidate &peer : vm.selection.peers(vm.membership.candidates(at), ++m_round / vms.size())) {
            exchange(vm, peer, at);
        }
    }

    void exchange(Vm &vm, const PeerCandidate &peer, TimePoint at)
    {
        const Microseconds latency = Milliseconds(peer.locality.region == vm.membership.locality().region ? 1 : 30);
        const wire::ExchangeRequest request = vm.exchange.request(peer, at);
        ++vm.calls;
        vm.bytes += request.ByteSizeLong();
        Vm &server = *vms[indexes.at(peer.vm)];
        if (server.isDown || !isConnected(vm.membership.locality(), peer.locality)) {
            return;
        }
        const auto response = capture([&] {
            return server.exchange.answer(request, at + latency);
        });
        if (!response) {
            ++malformed;
            return;
        }
        const std::size_t responseBytes = response.value().ByteSizeLong();
        server.bytes += request.ByteSizeLong() + responseBytes;
        if (random.unit() < loss) {
            return;
        }
        vm.bytes += responseBytes;
        const auto taken = capture([&] {
            return vm.exchange.takeResponse(peer.vm, response.value(), at, at + latency * 2);
        });
        malformed += taken ? 0 : 1;
    }

    std::uint64_t m_round { 0 };
};

} // namespace Sapphire
