#pragma once

#include <LibPeer/PeerNetwork.h>

#include <Fakes/EndpointText.h>
#include <Harness/LoopbackSubnet.h>
#include <LibCore/BootClock.h>
#include <LibSteering/CrashSuspects.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Sapphire {

/// One VM; all run on the same event loop.
struct PeerVm
{
    VmRecord record;
    std::unique_ptr<VmRoster> roster;
    std::unique_ptr<CustomerQuotas> quotas;
    std::unique_ptr<PeerNetwork> network;
    std::vector<SourceUpdate> received;
    CrashSuspects suspects;
};

/// VMs that talk to each other over loopback.
class PeerVms
{
public:
    /// Prepares a VM in each of the places. None runs yet.
    explicit PeerVms(const std::vector<Locality> &places)
        : m_loop(std::move(capture([this] {
                               return EventLoop::create(m_clock);
                           }).value()))
        , m_vms(places.size())
    {
        for (std::size_t i = 0; i < places.size(); ++i) {
            VmRecord &record = m_vms[i].record;
            record.vm = VmId("vm-" + std::to_string(i));
            record.locality = places[i];
            record.peerAddress = endpoint(m_subnet.address(10 + static_cast<int>(i)) + ":7600");
            record.startedAtMilliseconds = 1;
        }
    }

    std::vector<PeerVm> &vms()
    {
        return m_vms;
    }
    TimePoint now() const
    {
        return m_clock.now();
    }
    /// Starts a VM, which does not know the others yet.
    void start(PeerVm &vm, const VmRosterSettings &settings = {})
    {
        vm.roster = std::make_unique<VmRoster>(vm.record.vm, vm.record.locality, settings);
        vm.quotas = std::make_unique<CustomerQuotas>(vm.record.vm, QuotaSettings {});
        vm.network = std::move(capture([&] {
                                   return PeerNetwork::create(*m_loop, vm.record, *vm.roster, *vm.quotas,
                                                              BytesPerSecond(1'000'000));
                               }).value());
        vm.network->onUpdate([&vm](const SourceUpdate &update) {
            vm.received.push_back(update);
        });
        vm.network->onSuspect([this, &vm](const CrashSuspect &suspect) {
            vm.suspects.merge(suspect, now());
        });
        vm.network->setSuspectProvider([this, &vm](std::size_t count) {
            return vm.suspects.worst(count, now());
        });
    }
    /// Tells the VMs that run of each other.
    void introduce()
    {
        std::vector<VmRecord> records;
        for (const PeerVm &vm : m_vms) {
            if (vm.network) {
                records.push_back(vm.record);
            }
        }
        for (PeerVm &vm : m_vms) {
            if (vm.network) {
                vm.network->applyRecords(records);
            }
        }
    }
    /// Runs the loop until the condition holds or the time is over. Returns whether the condition holds.
    template<typename Condition>
    bool runUntil(const Condition &condition, Milliseconds longest = Milliseconds(3'000))
    {
        const Deadline end = Deadline::after(m_clock.now(), longest);
        while (!condition() && !end.hasPassed(m_clock.now())) {
            m_loop->runOnce(Deadline::after(m_clock.now(), Milliseconds(20)));
        }
        return condition();
    }
    void runFor(Milliseconds time)
    {
        runUntil(
            [] {
                return false;
            },
            time);
    }

private:
    BootClock m_clock;
    LoopbackSubnet m_subnet;
    std::unique_ptr<EventLoop> m_loop;
    std::vector<PeerVm> m_vms;
};

} // namespace Sapphire
