#include <LibPeer/CrashSuspectGossip.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

CrashSuspect suspect(int number, int crashes = 1)
{
    return { Fingerprint("f" + std::to_string(number)), start, crashes };
}

} // namespace

TEST_CASE("SuspectNews tells a suspect at once and repeats it")
{
    // Guards against a request that crashes targets at all VMs before they hear of it.
    CrashSuspectGossip gossip;
    CHECK(gossip.nextAt() == Deadline::never());
    gossip.add(suspect(1));
    CHECK(gossip.nextAt().hasPassed(start));
    CHECK(gossip.takeNew(start).size() == 1);
    CHECK(gossip.nextAt() == Deadline::never());
    CHECK(gossip.takeRepeats().size() == 1);
    CHECK(gossip.takeRepeats().size() == 1);
    CHECK(gossip.takeRepeats().empty());
}

TEST_CASE("SuspectNews sends few messages when many targets die at once")
{
    // Guards against a zone's restart after which each VM sends thousands of datagrams to all others.
    CrashSuspectGossip gossip;
    int messages = 0;
    for (int number = 0; number < 1'000; ++number) {
        const TimePoint now = start + Milliseconds(number);
        gossip.add(suspect(number));
        if (gossip.nextAt().hasPassed(now)) {
            CHECK(gossip.takeNew(now).size() <= 8);
            ++messages;
        }
    }
    CHECK(messages == 10);
}

TEST_CASE("SuspectNews keeps the worst suspects when there are too many")
{
    // Guards against a crashing request that is lost among its bystanders.
    CrashSuspectGossip gossip;
    gossip.add(suspect(0, 4));
    for (int number = 1; number < 50; ++number) {
        gossip.add(suspect(number));
    }
    gossip.add(suspect(0, 5));
    const std::vector<CrashSuspect> sent = gossip.takeNew(start);
    CHECK(sent.size() == 8);
    CHECK(sent.back().crashes == 5);
}
