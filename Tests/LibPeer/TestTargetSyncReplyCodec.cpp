#include <LibPeer/TargetSyncReplyCodec.h>

#include <Fakes/EndpointText.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint now { Milliseconds(1'000'000) };

TargetListEntry target(int number)
{
    TargetListEntry result;
    result.id = TargetId("i-00000000" + std::to_string(number));
    result.service = ServiceId("service-" + std::to_string(number % 3));
    result.address = endpoint("10.1.2." + std::to_string(number % 200) + ":" + std::to_string(8'000 + number));
    result.availabilityZone = AvailabilityZoneId("zone-" + std::to_string(number % 9));
    result.slots = 1 + number % 9;
    result.isDraining = number % 5 == 0;
    result.coldUntil = number % 7 == 0 ? now + Milliseconds(1'500) : now;
    result.startedAtMilliseconds = 1'790'254'589'050 + number;
    result.sequence = static_cast<std::uint64_t>(number);
    return result;
}

} // namespace

TEST_CASE("A reply with thousands of targets is encoded into unfragmented datagrams and decoded without loss")
{
    // Guards against targets that are altered on their way from VM to VM, and against datagrams that are lost because
    // one of several IP fragments was.
    constexpr int count = 3'000;
    constexpr std::size_t mostBytes = 1'400;
    TargetList list;
    std::vector<TargetListEntry> targets;
    targets.reserve(count);
    for (int i = 0; i < count; ++i) {
        targets.push_back(target(i));
    }
    list.applyWhole(targets, {}, now, targets.size());
    TargetSyncReply reply;
    reply.digest = list.digest();
    reply.readAt = now - Milliseconds(700);
    for (std::size_t index = 0; index < TargetList::bucketCount; ++index) {
        reply.buckets.push_back({ index, list.bucket(index) });
    }
    TargetList copy;
    const std::vector<peer::TargetAnswer> messages = encodeTargetSyncReply(reply, now);
    for (const peer::TargetAnswer &message : messages) {
        CHECK(message.ByteSizeLong() <= mostBytes);
        const std::optional<TargetSyncReply> read = decodeTargetSyncReply(message, now);
        REQUIRE(read);
        CHECK(read->isKnown);
        CHECK(read->readAt == reply.readAt);
        CHECK(read->digest == reply.digest);
        for (const TargetBucket &bucket : read->buckets) {
            copy.replaceBucket(bucket.index, bucket.targets);
        }
    }
    CHECK(copy.digest() == list.digest());
    CHECK(shortDigests(copy) == shortDigests(list));
    // At this size a bucket fills less than half of a datagram.
    CHECK(messages.size() < TargetList::bucketCount);
    for (std::size_t index = 0; index < TargetList::bucketCount; ++index) {
        const std::vector<TargetListEntry> before = list.bucket(index);
        const std::vector<TargetListEntry> after = copy.bucket(index);
        REQUIRE(before.size() == after.size());
        for (std::size_t i = 0; i < before.size(); ++i) {
            CHECK(after[i].sequence == before[i].sequence);
            CHECK(after[i].coldUntil == before[i].coldUntil);
        }
    }
}

TEST_CASE("The reply of a VM without a list is a single message")
{
    // Guards against a VM that keeps waiting for a list that no VM has.
    TargetSyncReply reply;
    reply.isKnown = false;
    const std::vector<peer::TargetAnswer> messages = encodeTargetSyncReply(reply, now);
    REQUIRE(messages.size() == 1);
    const std::optional<TargetSyncReply> read = decodeTargetSyncReply(messages.front(), now);
    REQUIRE(read);
    CHECK(!read->isKnown);
}

TEST_CASE("An inconsistent reply is rejected")
{
    // Guards against datagrams of another release or another program that crash this process.
    peer::TargetAnswer message;
    message.set_is_known(true);
    message.add_buckets()->set_index(TargetList::bucketCount);
    CHECK(!decodeTargetSyncReply(message, now));
    message.mutable_buckets(0)->set_index(0);
    peer::ShortTarget &entry = *message.mutable_buckets(0)->add_targets();
    entry.set_service(7);
    entry.set_slots(1);
    entry.set_ip("abcd");
    CHECK(!decodeTargetSyncReply(message, now));
}
