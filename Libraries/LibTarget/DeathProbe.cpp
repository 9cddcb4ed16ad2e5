#include <LibTarget/DeathProbe.h>

#include <LibTarget/TargetConnection.h>

#include <array>

namespace Sapphire {

namespace {

constexpr Milliseconds probeTimeout { 100 };
constexpr int mostDeathProbes = 3;
// A connection that stays open for longer than this was accepted by the target itself.
constexpr Milliseconds probeCloseTimeout { 20 };

} // namespace

bool refusesConnections(const Poco::Net::SocketAddress &address, const Clock &clock)
{
    // An intermediary in front of a dead target may accept one more connection, and resets it once its own connection
    // to the target was refused.
    for (int probes = 0; probes < mostDeathProbes; ++probes) {
        const WaitLimit connectLimit { Deadline::after(clock.now(), probeTimeout) };
        const auto probe = capture([&] {
            return TargetConnection::create(address, clock, connectLimit);
        });
        if (!probe) {
            return probe.error().code == ErrorCode::Unavailable;
        }
        const WaitLimit endLimit { Deadline::after(clock.now(), probeCloseTimeout) };
        std::array<char, 1> buffer {};
        const auto end = capture([&] {
            return probe.value()->receive(buffer, endLimit);
        });
        const bool hasEnded = end ? end.value() == 0 : end.error().code == ErrorCode::Unavailable;
        if (!hasEnded) {
            return false;
        }
    }
    return false;
}

} // namespace Sapphire
