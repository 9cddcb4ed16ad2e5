#include <LibGateway/CrashWatch.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

TargetId targetOf(int number)
{
    return TargetId("t" + std::to_string(number));
}

Fingerprint requestOf(int number)
{
    return Fingerprint("f" + std::to_string(number));
}

/// A watch that counts what it tells the other VMs.
struct CountingWatch
{
    int told { 0 };
    CrashWatch watch { [this](const CrashSuspect &) {
        ++told;
    } };
};

} // namespace

TEST_CASE("CrashWatch suspects the request that was alone when its target ended, and tells the others")
{
    // Guards against a request that takes down one target after another.
    CountingWatch counting;
    counting.watch.noteBroken(targetOf(1), requestOf(1), start);
    CHECK(counting.told == 0);
    counting.watch.noteEnded(targetOf(1), start + Milliseconds(900));
    CHECK(counting.told == 1);
    CHECK(counting.watch.isRefused(requestOf(1), false, start + Milliseconds(900)));
}

TEST_CASE("CrashWatch blames no request for a connection that broke long before its target ended")
{
    // Guards against a booking that is refused for a target's planned end.
    CountingWatch counting;
    counting.watch.noteBroken(targetOf(1), requestOf(1), start);
    counting.watch.noteEnded(targetOf(1), start + Milliseconds(3'000));
    CHECK(counting.told == 0);
    CHECK(!counting.watch.isRefused(requestOf(1), false, start + Milliseconds(3'000)));
}

TEST_CASE("CrashWatch blames hardly any request when a zone's targets end together")
{
    // Guards against bookings that are refused for ten minutes, and a flood of messages, after a zone has restarted.
    CountingWatch counting;
    constexpr int targets = 90;
    for (int number = 0; number < targets; ++number) {
        counting.watch.noteBroken(targetOf(number), requestOf(number), start);
    }
    int refused = 0;
    for (int number = 0; number < targets; ++number) {
        counting.watch.noteEnded(targetOf(number), start + Milliseconds(number));
        refused += counting.watch.isRefused(requestOf(number), false, start + Milliseconds(number)) ? 1 : 0;
    }
    CHECK(refused <= 3);
    CHECK(counting.told <= 6);
}

TEST_CASE("CrashWatch blames a request that was a suspect before, even when many targets end")
{
    // Guards against a crashing request that hides behind the restart of a zone, or crashes many targets itself.
    CountingWatch counting;
    for (int number = 0; number < 10; ++number) {
        counting.watch.noteBroken(targetOf(number), requestOf(0), start);
        counting.watch.noteEnded(targetOf(number), start + Milliseconds(number));
    }
    CHECK(counting.watch.isRefused(requestOf(0), true, start + Milliseconds(10)));
}
