#include <LibSteering/VmListGuard.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };
constexpr Milliseconds longTime { 120'000 };

VmRecord vm(const char *name)
{
    VmRecord record;
    record.vm = VmId(name);
    return record;
}

} // namespace

TEST_CASE("VmListGuard keeps VMs that the platform has lost, for a limited time")
{
    // Guards against VMs that take the share of a quota that a VM still spends whose record the platform has lost.
    VmListGuard guard;
    guard.take({ vm("a"), vm("b") }, SourceEpoch(1), start);
    CHECK(guard.take({ vm("a") }, SourceEpoch(2), start).size() == 2);
    CHECK(guard.take({ vm("a") }, SourceEpoch(2), start + Milliseconds(1'000)).size() == 2);
    CHECK(guard.take({ vm("a") }, SourceEpoch(2), start + longTime).size() == 1);
}

TEST_CASE("VmListGuard removes a VM that leaves, also one that was lost and has entered again")
{
    // Guards against VMs that count for good after they have ended.
    VmListGuard guard;
    guard.take({ vm("a"), vm("b") }, SourceEpoch(1), start);
    CHECK(guard.take({ vm("a") }, SourceEpoch(1), start).size() == 1);
    guard.take({ vm("a"), vm("c") }, SourceEpoch(1), start);
    guard.take({ vm("a") }, SourceEpoch(2), start);
    guard.take({ vm("a"), vm("c") }, SourceEpoch(2), start);
    CHECK(guard.take({ vm("a") }, SourceEpoch(2), start).size() == 1);
}
