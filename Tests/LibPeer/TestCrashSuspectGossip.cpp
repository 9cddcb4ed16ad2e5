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

TEST_CASE("CrashSuspectGossip sends a suspect at once and repeats it")
{
    // Guards against a request that crashes targets of every VM before the VMs know of it.
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

TEST_CASE("CrashSuspectGossip sends few messages when many targets die at once")
{
    // Guards against each VM sending thousands of datagrams to all others after a zone restarts.
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

TEST_CASE("CrashSuspectGossip keeps the worst suspects when there are too many")
{
    // Guards against dropping the request that causes crashes in favor of requests that ran beside it.
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
