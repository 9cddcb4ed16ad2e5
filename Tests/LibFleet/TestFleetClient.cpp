#include "FleetNode.h"

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

Deadline soon(const FleetNode &node)
{
    return Deadline::after(node.clock.now(), Milliseconds(1'000));
}

} // namespace

TEST_CASE("a loan ends at the borrower no later than at the lender")
{
    // Guards against tokens that are used after they have expired at the lender.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" } });
    const auto loan = capture([&] {
        return fleet[1].client.borrow(VmId("vm-0"), CustomerId("limpieza"), Tokens(5), soon(fleet[1]));
    });
    REQUIRE(loan);
    CHECK(loan.value().tokens == Tokens(3));
    CHECK(loan.value().deadline <= fleet[0].lender.lastDeadline);
    CHECK(fleet[0].lender.lastBorrower.vm == VmId("vm-1"));
}

TEST_CASE("a loan that is refused or not answered fails within the deadline")
{
    // Guards against requests that wait for a lender beyond their deadline.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" } });
    const auto refused = capture([&] {
        return fleet[1].client.borrow(VmId("vm-0"), CustomerId("stopped"), Tokens(5), soon(fleet[1]));
    });
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::Unavailable);
    const auto unknown = capture([&] {
        return fleet[1].client.borrow(VmId("vm-9"), CustomerId("limpieza"), Tokens(5), soon(fleet[1]));
    });
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::Unavailable);
    fleet[0].server.reset();
    const TimePoint begin = fleet[1].clock.now();
    CHECK_FALSE(capture([&] {
        return fleet[1].client.borrow(VmId("vm-0"), CustomerId("limpieza"), Tokens(5), soon(fleet[1]));
    }));
    CHECK(fleet[1].clock.now() - begin < Milliseconds(1'500));
}

TEST_CASE("a VM returns the state of a request")
{
    // Guards against an unknown request id that is reported as not run.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "pampa", "pampa-a" } });
    const auto state = capture([&] {
        return fleet[1].client.requestState(VmId("vm-0"), CustomerId("limpieza"), RequestId("r-1"), soon(fleet[1]));
    });
    REQUIRE(state);
    CHECK(state.value().kind == RemoteRequestStateKind::Ran);
    CHECK(state.value().result == "done");
    const auto unknown = capture([&] {
        return fleet[1].client.requestState(VmId("vm-0"), CustomerId("limpieza"), RequestId("r-2"), soon(fleet[1]));
    });
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::NotFound);
}

TEST_CASE("channels that are not used any more are closed")
{
    // Guards against a VM that accumulates channels to all VMs of the fleet.
    FleetNodes fleet = startNodes({ { "cuyo", "cuyo-a" }, { "cuyo", "cuyo-a" } });
    fleet[1].tick();
    CHECK(fleet[1].client.channelCount() == 1);
    fleet[1].client.closeIdle(fleet[1].clock.now() + Milliseconds(61'000));
    CHECK(fleet[1].client.channelCount() == 0);
}
