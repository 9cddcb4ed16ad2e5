#include <LibConfiguration/RetirementWatch.h>

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

/// Observes the fleet each second from the first to the last and returns when the watch of the VM wants to act.
std::optional<int> actsAt(RetirementWatch &watch, const VmId &self, const std::set<VmId> &listed, int first, int last)
{
    for (int at = first; at <= last; ++at) {
        const TimePoint now(second * (1000 + at));
        watch.observe({ vm("a"), vm("b"), vm("c"), vm("gone") }, listed, now);
        if (!watch.due(self, {}, now).empty()) {
            return at;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("VMs retire a process that left the list one after the other")
{
    // Guards against processes retired on a short gap in the list, and against a write by each VM at once.
    const std::set<VmId> listed { VmId("a"), VmId("b"), VmId("c") };
    std::set<VmId> all = listed;
    all.insert(VmId("gone"));
    std::set<int> times;
    for (const VmId &self : listed) {
        RetirementWatch watch;
        CHECK_FALSE(actsAt(watch, self, all, 0, 30));
        CHECK_FALSE(actsAt(watch, self, listed, 31, 40));
        CHECK_FALSE(actsAt(watch, self, all, 41, 42));
        times.insert(actsAt(watch, self, listed, 43, 80).value());
    }
    CHECK(times == std::set<int> { 53, 56, 59 });
}

TEST_CASE("what is not known is not retired")
{
    // Guards against retirements by a VM that was paused, has read no list, or knows the list to lag.
    const VmId self("a");
    const std::set<VmId> listed { VmId("a"), VmId("b"), VmId("c"), VmId("gone") };
    RetirementWatch withoutList;
    CHECK_FALSE(actsAt(withoutList, self, {}, 0, 100));
    RetirementWatch neverListed;
    CHECK_FALSE(actsAt(neverListed, self, { VmId("a"), VmId("b"), VmId("c") }, 0, 59));
    RetirementWatch paused;
    CHECK_FALSE(actsAt(paused, self, listed, 0, 1));
    CHECK_FALSE(actsAt(paused, self, { VmId("a") }, 2, 2));
    CHECK_FALSE(actsAt(paused, self, { VmId("a") }, 100, 109));
    CHECK(actsAt(paused, self, { VmId("a") }, 110, 110));
}
