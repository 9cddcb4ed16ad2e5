#include <LibTarget/TargetObserver.h>

#include <LibCore/BootClock.h>
#include <LibTarget/StandInRunner.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sapphire;

namespace {

class FixedRoster final : public Roster
{
public:
    std::vector<RosterVm> vms(TimePoint) const override
    {
        return list;
    }
    std::set<VmId> listedVms() const override
    {
        return {};
    }

    std::vector<RosterVm> list;
};

} // namespace

TEST_CASE("TargetObserver reports health and load within one timeout, even with silent, slow and dead targets")
{
    // Guards against a few silent targets that delay the observation of all others.
    constexpr int count = 8;
    const StandInRunner standIn(StandInRunner::settings(count, 4, Milliseconds(0)));
    Configuration configuration;
    configuration.services[ServiceId("status")].id = ServiceId("status");
    for (int i = 0; i < count; ++i) {
        TargetRecord record;
        record.id = TargetId("t" + std::to_string(i));
        record.service = ServiceId("status");
        record.locality.region = RegionId("r");
        record.address = standIn.addressOf(record.id.text());
        configuration.targets[record.id] = record;
    }
    const BootClock clock;
    const FixedRoster roster;
    ServiceTargets targets({ VmId("vm-1"), RegionId("r") }, clock, nullptr);
    targets.update(configuration, { VmId("vm-1") });
    TargetObserver observer({ VmId("vm-1"), RegionId("r"), Milliseconds(100) }, roster, targets, clock);
    standIn.control("set?target=t1&health=silent");
    standIn.control("set?target=t2&down=1");
    standIn.control("set?target=t3&drain=1");
    standIn.control("set?target=t4&health=failing");
    standIn.control("set?target=t5&health=error");
    standIn.control("set?target=t6&claimedInFlight=3");
    for (int round = 0; round < 2; ++round) {
        const TimePoint start = clock.now();
        observer.tick(start);
        CHECK(clock.now() - start < Milliseconds(200));
    }
    const std::vector<TargetReport> reports = targets.ownReports();
    REQUIRE(reports.size() == count);
    const std::vector<TargetHealth> expected { TargetHealth::Ok,          TargetHealth::Unreachable,
                                               TargetHealth::Unreachable, TargetHealth::Draining,
                                               TargetHealth::Failing,     TargetHealth::Failing,
                                               TargetHealth::Ok,          TargetHealth::Ok };
    for (int i = 0; i < count; ++i) {
        CAPTURE(i);
        CHECK(static_cast<int>(reports[i].health) == static_cast<int>(expected[i]));
    }
    CHECK(reports[6].inFlight == 3);
    CHECK(reports[6].slots == 4);
    const RegionUsage usage = targets.regionUsages()[0];
    CHECK(usage.slots == 3);
    standIn.control("set?target=t2&down=0");
    standIn.control("set?target=t0&down=1");
    standIn.control("set?target=t0&down=0");
    observer.tick(clock.now());
    CHECK(static_cast<int>(targets.ownReports()[0].health) == static_cast<int>(TargetHealth::Ok));
    CHECK(static_cast<int>(targets.ownReports()[2].health) == static_cast<int>(TargetHealth::Ok));
}

TEST_CASE("TargetObserver has two observers for each target")
{
    // Guards against targets that no VM observes, and against load that grows with the number of VMs.
    std::vector<VmId> vms;
    vms.reserve(7);
    for (int i = 0; i < 7; ++i) {
        vms.emplace_back("vm-" + std::to_string(i));
    }
    for (int target = 0; target < 50; ++target) {
        const TargetId id("t" + std::to_string(target));
        const auto observers = std::count_if(vms.begin(), vms.end(), [&](const VmId &vm) {
            return TargetObserver::isObserver(id, vm, vms);
        });
        CHECK(observers == 2);
    }
}
