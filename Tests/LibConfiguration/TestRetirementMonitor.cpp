#include <LibConfiguration/RetirementMonitor.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr Microseconds second { 1'000'000 };

RosterVm vm(const std::string &name)
{
    RosterVm entry;
    entry.process = { VmId(name), Incarnation(3) };
    return entry;
}

/// Observes the fleet each second from `first` to `last` and returns the second at which `self` is due to retire a
/// process.
std::optional<int> actsAt(RetirementMonitor &monitor, const VmId &self, const std::set<VmId> &listed, int first,
                          int last)
{
    for (int at = first; at <= last; ++at) {
        const TimePoint now(second * (1000 + at));
        monitor.observe({ vm("a"), vm("b"), vm("c"), vm("gone") }, listed, now);
        if (!monitor.due(self, {}, now).empty()) {
            return at;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("VMs take turns to retire a process that left the list")
{
    // Guards against processes retired for a short absence from the list, and against all VMs writing at once.
    const std::set<VmId> listed { VmId("a"), VmId("b"), VmId("c") };
    std::set<VmId> all = listed;
    all.insert(VmId("gone"));
    std::set<int> times;
    for (const VmId &self : listed) {
        RetirementMonitor monitor;
        CHECK_FALSE(actsAt(monitor, self, all, 0, 30));
        CHECK_FALSE(actsAt(monitor, self, listed, 31, 40));
        CHECK_FALSE(actsAt(monitor, self, all, 41, 42));
        times.insert(actsAt(monitor, self, listed, 43, 80).value());
    }
    CHECK(times == std::set<int> { 53, 56, 59 });
}

TEST_CASE("a process is not retired without a list, before the longer grace of unlisted VMs or after a pause")
{
    // Guards against retirements by a VM that was paused or has read no list, and of VMs that the list doesn't show
    // yet.
    const VmId self("a");
    const std::set<VmId> listed { VmId("a"), VmId("b"), VmId("c"), VmId("gone") };
    RetirementMonitor withoutList;
    CHECK_FALSE(actsAt(withoutList, self, {}, 0, 100));
    RetirementMonitor neverListed;
    CHECK_FALSE(actsAt(neverListed, self, { VmId("a"), VmId("b"), VmId("c") }, 0, 59));
    RetirementMonitor paused;
    CHECK_FALSE(actsAt(paused, self, listed, 0, 1));
    CHECK_FALSE(actsAt(paused, self, { VmId("a") }, 2, 2));
    CHECK_FALSE(actsAt(paused, self, { VmId("a") }, 100, 109));
    CHECK(actsAt(paused, self, { VmId("a") }, 110, 110));
}
