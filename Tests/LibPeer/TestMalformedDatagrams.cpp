#include <LibPeer/PeerNetwork.h>

#include <Fakes/EndpointText.h>
#include <Harness/LoopbackSubnet.h>
#include <LibCore/BootClock.h>
#include <LibCore/RandomSource.h>
#include <LibNet/SocketAddresses.h>
#include <Poco/Net/DatagramSocket.h>

#include <doctest/doctest.h>

#include <string>

using namespace Sapphire;

namespace {

constexpr int datagramCount = 4'000;
constexpr int datagramsPerRound = 50;
constexpr int mostChangedBytes = 4;
constexpr std::uint64_t byteValues = 256;

VmRecord recordOf(const LoopbackSubnet &subnet, int index)
{
    VmRecord record;
    record.vm = VmId("vm-" + std::to_string(index));
    record.locality = { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    record.peerAddress = endpoint(subnet.address(10 + index) + ":7600");
    record.startedAtMilliseconds = 1;
    return record;
}

/// A datagram of a known VM that has each part, some with values that no VM sends.
peer::Datagram strangeDatagram()
{
    peer::Datagram datagram;
    datagram.set_vm("vm-1");
    datagram.set_started(1);
    peer::ServiceDemand &demand = *datagram.mutable_presence()->add_demands();
    demand.set_service("status");
    demand.set_offered_centislots(UINT32_MAX);
    demand.add_bound()->set_centislots(UINT32_MAX);
    datagram.mutable_wish()->set_customer("nobody");
    datagram.mutable_wish()->set_tokens(UINT32_MAX);
    datagram.mutable_grant()->set_tokens(UINT32_MAX);
    datagram.add_suspects()->set_fingerprint("no digits");
    datagram.mutable_region()->set_region("elsewhere");
    datagram.add_silent("vm-0");
    peer::Reading &reading = *datagram.add_readings();
    reading.set_subject(peer::Reading::SUBJECT_TARGETS);
    reading.set_age(UINT32_MAX);
    peer::Target &target = *reading.add_changed();
    target.set_id("t");
    target.set_address("999.0.0.1:99999");
    target.set_slots(UINT32_MAX);
    datagram.mutable_target_question()->add_digests(1);
    peer::TargetAnswer &answer = *datagram.mutable_target_answer();
    answer.set_is_known(true);
    peer::ShortTarget &shortTarget = *answer.add_buckets()->add_targets();
    shortTarget.set_service(UINT32_MAX);
    shortTarget.set_ip("abc");
    shortTarget.set_port(UINT32_MAX);
    return datagram;
}

} // namespace

TEST_CASE("Malformed datagrams end no process, and sound ones are still handled")
{
    // Guards against one malformed message of another VM that takes the process down.
    const BootClock clock;
    const LoopbackSubnet subnet;
    const std::unique_ptr<EventLoop> loop = std::move(capture([&clock] {
                                                          return EventLoop::create(clock);
                                                      }).value());
    const VmRecord own = recordOf(subnet, 0);
    VmRoster roster(own.vm, own.locality, {});
    CustomerQuotas quotas(own.vm, QuotaSettings {});
    const std::unique_ptr<PeerNetwork> network =
        std::move(capture([&] {
                      return PeerNetwork::create(*loop, own, roster, quotas, BytesPerSecond(1'000'000));
                  }).value());
    network->applyRecords({ own, recordOf(subnet, 1) });
    int updates = 0;
    network->onUpdate([&updates](const SourceUpdate &) {
        ++updates;
    });
    const Poco::Net::SocketAddress receiver = socketAddressOf(own.peerAddress);
    Poco::Net::DatagramSocket sender(socketAddressOf(recordOf(subnet, 1).peerAddress));
    const std::string sound = strangeDatagram().SerializeAsString();
    RandomSource random(31);
    for (int i = 0; i < datagramCount; ++i) {
        std::string bytes = sound.substr(0, i % 3 == 0 ? random.below(sound.size()) : sound.size());
        for (int change = 0; i > 0 && change < mostChangedBytes && !bytes.empty(); ++change) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(byteValues));
        }
        sender.sendTo(bytes.data(), static_cast<int>(bytes.size()), receiver);
        if (i % datagramsPerRound == 0) {
            loop->runOnce(Deadline::after(clock.now(), Milliseconds(1)));
        }
    }
    peer::Datagram last;
    last.set_vm("vm-1");
    last.set_started(INT64_MAX);
    last.add_readings()->set_subject(peer::Reading::SUBJECT_TARGETS);
    const std::string bytes = last.SerializeAsString();
    updates = 0;
    const Deadline end = Deadline::after(clock.now(), Milliseconds(5'000));
    while (updates == 0 && !end.hasPassed(clock.now())) {
        sender.sendTo(bytes.data(), static_cast<int>(bytes.size()), receiver);
        loop->runOnce(Deadline::after(clock.now(), Milliseconds(20)));
    }
    CHECK(updates > 0);
}
