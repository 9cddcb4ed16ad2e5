#include <LibPeer/PeerNetwork.h>

#include <Harness/LoopbackSubnet.h>
#include <LibCore/BootClock.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Sapphire;

namespace {

constexpr int vmsPerZone = 4;
constexpr Milliseconds longestWait { 3'000 };
// An update that is forwarded in a loop would arrive again within this time.
constexpr Milliseconds repeatWindow { 1'000 };

/// One VM; all run on the same event loop.
struct PeerVm
{
    VmRecord record;
    std::unique_ptr<VmRoster> roster;
    std::unique_ptr<CustomerQuotas> quotas;
    std::unique_ptr<PeerNetwork> network;
    std::vector<SourceUpdate> received;
};

/// The VMs of a region with two availability zones. Its settings make it count as large.
class LargeRegion
{
public:
    LargeRegion()
        : m_loop(std::move(capture([this] {
                               return EventLoop::create(m_clock);
                           }).value()))
    {
        std::vector<VmRecord> records;
        for (int i = 0; i < 2 * vmsPerZone; ++i) {
            VmRecord record;
            record.vm = VmId("vm-" + std::to_string(i));
            record.locality = { RegionId("cuyo"), AvailabilityZoneId(i < vmsPerZone ? "cuyo-a" : "cuyo-b") };
            record.peerAddress = m_subnet.address(10 + i) + ":7600";
            record.startedAtMilliseconds = 1;
            records.push_back(record);
        }
        VmRosterSettings settings;
        settings.heartbeats = { 2, 1 };
        m_vms.resize(records.size());
        for (std::size_t i = 0; i < records.size(); ++i) {
            start(m_vms[i], records[i], settings);
        }
        for (PeerVm &vm : m_vms) {
            vm.network->applyRecords(records);
        }
        runUntil([this] {
            return std::all_of(m_vms.begin(), m_vms.end(), [this](const PeerVm &vm) {
                return vm.roster->serving(m_loop->now()).size() == m_vms.size();
            });
        });
    }

    std::vector<PeerVm> &vms()
    {
        return m_vms;
    }
    TimePoint now() const
    {
        return m_clock.now();
    }
    /// Runs the loop until the condition holds or the time is over. Returns whether the condition holds.
    template<typename Condition>
    bool runUntil(const Condition &condition, Milliseconds longest = longestWait)
    {
        const Deadline end = Deadline::after(m_clock.now(), longest);
        while (!condition() && !end.hasPassed(m_clock.now())) {
            m_loop->runOnce(Deadline::after(m_clock.now(), Milliseconds(20)));
        }
        return condition();
    }

private:
    void start(PeerVm &vm, const VmRecord &record, const VmRosterSettings &settings)
    {
        vm.record = record;
        vm.roster = std::make_unique<VmRoster>(record.vm, record.locality, settings);
        vm.quotas = std::make_unique<CustomerQuotas>(record.vm, QuotaSettings {});
        vm.network = std::move(capture([&] {
                                   return PeerNetwork::create(*m_loop, record, *vm.roster, *vm.quotas);
                               }).value());
        vm.network->onUpdate([&vm](const SourceUpdate &update) {
            vm.received.push_back(update);
        });
    }

    BootClock m_clock;
    LoopbackSubnet m_subnet;
    std::unique_ptr<EventLoop> m_loop;
    std::vector<PeerVm> m_vms;
};

} // namespace

TEST_CASE("Every VM of a large region receives an update once and knows its origin, also through a relay")
{
    // Guards against VMs of another availability zone that miss the update, take the relay for the reader, or forward
    // the update in a loop.
    LargeRegion region;
    SourceUpdate update;
    update.kind = SourceKind::Targets;
    update.digest = 7;
    update.readAt = region.now();
    region.vms().front().network->broadcastUpdate(update);
    const auto haveReceived = [&region] {
        return std::all_of(region.vms().begin() + 1, region.vms().end(), [](const PeerVm &vm) {
            return !vm.received.empty();
        });
    };
    CHECK(region.runUntil(haveReceived));
    region.runUntil(
        [] {
            return false;
        },
        repeatWindow);
    for (std::size_t i = 1; i < region.vms().size(); ++i) {
        CAPTURE(i);
        REQUIRE(region.vms()[i].received.size() == 1);
        CHECK(region.vms()[i].received.front().origin == VmId("vm-0"));
        CHECK(region.vms()[i].received.front().digest == 7);
    }
}
