#include "FleetNode.h"

#include <doctest/doctest.h>

using namespace Sapphire;

TEST_CASE("a withdrawal is forwarded when it is first received, and acknowledgements are counted")
{
    // Guards against a withdrawal that waits for the next round of the exchange, and against forwarding without end.
    FleetNodes fleet =
        startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-b" }, { "pampa", "pampa-a" }, { "pampa", "pampa-b" } });
    const std::set<KeyId> keys { KeyId("key-1"), KeyId("key-2") };
    fleet[0].configuration.takeWithdrawals(keys);
    const std::size_t acknowledged =
        fleet[0].gossip.spreadWithdrawals(keys, Deadline::after(fleet[0].clock.now(), Milliseconds(1'000)));
    CHECK(acknowledged >= 2);
    CHECK(waitUntil(
        [&] {
            return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto &node) {
                return node->configuration.withdrawals() == keys;
            });
        },
        Milliseconds(2'000)));
}

TEST_CASE("unreachable peers do not count as having acknowledged")
{
    // Guards against a withdrawal that is reported to the operator as replicated while only one VM has it.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" }, { "pampa", "pampa-a" } });
    fleet[1].server.reset();
    const std::size_t acknowledged = fleet[0].gossip.spreadWithdrawals(
        { KeyId("key-1") }, Deadline::after(fleet[0].clock.now(), Milliseconds(1'000)));
    CHECK(acknowledged == 1);
}
