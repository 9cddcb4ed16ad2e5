#include <LibCore/RandomSource.h>
#include <LibSteering/AllotmentPolicy.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

VmIncarnation process(int vm, int incarnation = 1)
{
    return { VmId("vm-" + std::to_string(vm)), Incarnation(static_cast<std::uint64_t>(incarnation)) };
}

AllotmentView viewOf(int vm, double demand)
{
    AllotmentView view;
    view.self = process(vm);
    for (int i = 0; i < 3; ++i) {
        view.homes.push_back({ process(i).vm, RegionId("region-" + std::to_string(i)) });
    }
    view.ownDemand = demand;
    view.ratePerSecond = 10;
    view.burst = 30;
    return view;
}

AllotmentDecision decide(const Allotment &current, const AllotmentView &view)
{
    return AllotmentPolicy::decide(current, view, {});
}

const Allotment even {
    { { process(0), Share(333'334), 3 }, { process(1), Share(333'333), 3 }, { process(2), Share(333'333), 3 } }
};

} // namespace

TEST_CASE("a new customer's home VMs divide the whole")
{
    // Guards against a first home VM that takes the whole, and a rest that no VM holds.
    Allotment row;
    for (int vm = 0; vm < 3; ++vm) {
        row = decide(row, viewOf(vm, 0)).next;
    }
    CHECK(row.entries.size() == 3);
    CHECK(row.total() == wholeShare);
    CHECK_FALSE(decide(row, viewOf(1, 0)).isChanged);
}

TEST_CASE("shares follow the demand in steps, and a VM lowers only its own share")
{
    // Guards against a VM that takes a share that another one still uses.
    Allotment row = even;
    row.entries[0].demand = 9;
    CHECK_FALSE(decide(row, viewOf(0, 9)).isChanged);
    row.entries[1].demand = 0.1;
    row.entries[2].demand = 0.1;
    const Allotment lowered = decide(row, viewOf(1, 0.1)).next;
    CHECK(lowered.find(process(1).vm)->share == Share(200'000));
    CHECK(lowered.find(process(0).vm)->share == Share(333'334));
    const Allotment raised = decide(lowered, viewOf(0, 9)).next;
    CHECK(raised.find(process(0).vm)->share == Share(333'334 + 133'333));
    CHECK(raised.total() == wholeShare);
}

TEST_CASE("demand that changes little or too soon is not written")
{
    // Guards against a write for every change of the demand, which 730 VMs could not afford.
    CHECK_FALSE(decide(even, viewOf(0, 4)).isChanged);
    AllotmentView view = viewOf(0, 8);
    view.isIntervalOver = false;
    CHECK_FALSE(decide(even, view).isChanged);
}

TEST_CASE("an idle customer's shares stay")
{
    // Guards against writes and dropped tokens whenever a customer's requests pause.
    Allotment row = even;
    row.entries[0].share = Share(600'000);
    row.entries[1].share = Share(66'667);
    for (AllotmentEntry &entry : row.entries) {
        entry.demand = 0;
    }
    CHECK_FALSE(decide(row, viewOf(0, 0)).isChanged);
}

TEST_CASE("a new process takes over the share of the one before it on the same VM")
{
    // Guards against a share that no VM uses after a restart, and a takeover by an older process.
    Allotment row = even;
    AllotmentView view = viewOf(1, 3);
    view.self = process(1, 2);
    const AllotmentDecision decision = decide(row, view);
    CHECK(decision.isTakeover);
    CHECK(decision.next.find(process(1).vm)->process == process(1, 2));
    CHECK(decision.next.find(process(1).vm)->share == Share(333'333));
    row.entries[1].process = process(1, 3);
    CHECK_FALSE(decide(row, view).isChanged);
}

TEST_CASE("only returnable shares become free")
{
    // Guards against taking the share of a VM that may still admit requests.
    AllotmentView view = viewOf(0, 3);
    std::erase_if(view.homes, [](const RendezvousCandidate &home) {
        return home.vm == process(2).vm;
    });
    CHECK_FALSE(decide(even, view).isChanged);
    view.returnable.insert(process(2));
    const AllotmentDecision decision = decide(even, view);
    CHECK(decision.isReturn);
    CHECK(decision.next.find(process(2).vm) == nullptr);
    CHECK(decision.next.find(process(0).vm)->share > Share(450'000));
}

TEST_CASE("a VM that is no longer a home VM gives its share back")
{
    // Guards against shares left at VMs that look-ups don't name.
    AllotmentView view = viewOf(0, 0);
    view.homes.erase(view.homes.begin());
    CHECK(decide(even, view).next.find(process(0).vm) == nullptr);
}

TEST_CASE("a small burst has few holders with usable buckets")
{
    // Guards against shares worth less than a token, with which a customer would never be served.
    Allotment row = even;
    for (const double burst : { 1.0, 2.0, 4.0 }) {
        for (int round = 0; round < 20; ++round) {
            AllotmentView view = viewOf(round % 3, 1);
            view.burst = burst;
            row = decide(row, view).next;
        }
        CHECK(row.total() == wholeShare);
        for (const AllotmentEntry &entry : row.entries) {
            CHECK((entry.share.value() == 0 || static_cast<double>(entry.share.value()) * burst >= 1e6));
        }
    }
}

TEST_CASE("no sequence of decisions allots more than the whole")
{
    // Guards against rounding errors, and against raises beyond the share that no VM holds.
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed ", seed);
        RandomSource random(seed);
        Allotment row;
        for (int step = 0; step < 60; ++step) {
            AllotmentView view = viewOf(static_cast<int>(random.below(4)), random.unit() * 20);
            view.self.incarnation = Incarnation(1 + random.below(2));
            view.burst = 1 + random.unit() * 40;
            if (random.below(10) == 0 && !row.entries.empty()) {
                view.returnable.insert(row.entries[random.below(row.entries.size())].process);
            }
            row = decide(row, view).next;
            REQUIRE(row.total() <= wholeShare);
            for (const AllotmentEntry &entry : row.entries) {
                REQUIRE(entry.share.value() >= 0);
            }
        }
    }
}
