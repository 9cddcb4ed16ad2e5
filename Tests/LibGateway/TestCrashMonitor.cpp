#include <LibGateway/CrashMonitor.h>

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

/// A CrashMonitor that counts its broadcasts.
struct CountingMonitor
{
    int broadcasts { 0 };
    CrashMonitor monitor { [this](const CrashSuspect &) {
        ++broadcasts;
    } };
};

} // namespace

TEST_CASE("CrashMonitor suspects the only request that ran when its target died, and broadcasts that")
{
    // Guards against a request that crashes one target after another.
    CountingMonitor counting;
    counting.monitor.noteConnectionLost(targetOf(1), requestOf(1), start);
    CHECK(counting.broadcasts == 0);
    counting.monitor.noteTargetDied(targetOf(1), start + Milliseconds(900));
    CHECK(counting.broadcasts == 1);
    CHECK(counting.monitor.isRefused(requestOf(1), false, start + Milliseconds(900)));
}

TEST_CASE("CrashMonitor suspects no request whose connection broke long before its target died")
{
    // Guards against a booking that is refused because its target stopped as planned.
    CountingMonitor counting;
    counting.monitor.noteConnectionLost(targetOf(1), requestOf(1), start);
    counting.monitor.noteTargetDied(targetOf(1), start + Milliseconds(3'000));
    CHECK(counting.broadcasts == 0);
    CHECK(!counting.monitor.isRefused(requestOf(1), false, start + Milliseconds(3'000)));
}

TEST_CASE("CrashMonitor suspects hardly any request when a zone's targets die together")
{
    // Guards against bookings that are refused for ten minutes, and a flood of messages, after a zone has restarted.
    CountingMonitor counting;
    constexpr int targets = 90;
    for (int number = 0; number < targets; ++number) {
        counting.monitor.noteConnectionLost(targetOf(number), requestOf(number), start);
    }
    int refused = 0;
    for (int number = 0; number < targets; ++number) {
        counting.monitor.noteTargetDied(targetOf(number), start + Milliseconds(number));
        refused += counting.monitor.isRefused(requestOf(number), false, start + Milliseconds(number)) ? 1 : 0;
    }
    CHECK(refused <= 3);
    CHECK(counting.broadcasts <= 6);
}

TEST_CASE("CrashMonitor blames a request that was a suspect before, even when many targets die")
{
    // Guards against a crashing request that goes unnoticed during the restart of a zone, or crashes many targets
    // itself.
    CountingMonitor counting;
    for (int number = 0; number < 10; ++number) {
        counting.monitor.noteConnectionLost(targetOf(number), requestOf(0), start);
        counting.monitor.noteTargetDied(targetOf(number), start + Milliseconds(number));
    }
    CHECK(counting.monitor.isRefused(requestOf(0), true, start + Milliseconds(10)));
}
