#include <LibCore/Hash.h>
#include <LibSteering/HeartbeatPlan.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace Sapphire;

namespace {

std::vector<HeartbeatPlan::Member> regionOf(std::size_t count)
{
    std::vector<HeartbeatPlan::Member> members;
    members.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const VmId vm("vm-" + std::to_string(i));
        members.push_back({ vm, stableHash(vm.text()) });
    }
    return members;
}

std::map<VmId, HeartbeatPlan> plansOf(const std::vector<HeartbeatPlan::Member> &members)
{
    std::map<VmId, HeartbeatPlan> plans;
    for (const HeartbeatPlan::Member &member : members) {
        const auto [plan, isNew] = plans.try_emplace(member.vm, member.vm, HeartbeatSettings {});
        plan->second.setMembers(members);
    }
    return plans;
}

} // namespace

TEST_CASE("HeartbeatPlan sends each heartbeat to all VMs of a small region")
{
    // Guards against late detection of a dead VM where heartbeats to all cost little.
    for (const std::size_t count : { 1U, 2U, 49U }) {
        auto plans = plansOf(regionOf(count));
        for (auto &[vm, plan] : plans) {
            const std::vector<VmId> receivers = plan.nextReceivers();
            CHECK(receivers.size() == count - 1);
            CHECK(std::find(receivers.begin(), receivers.end(), vm) == receivers.end());
            CHECK(!plan.needsReports());
        }
    }
}

TEST_CASE("HeartbeatPlan bounds the messages of a large region, and each VM gets heartbeats of each other one in time")
{
    // Guards against messages that grow with the square of a region's VMs, and against a VM whose heartbeats never
    // arrive.
    for (const std::size_t count : { 50U, 146U, 333U }) {
        const std::vector<HeartbeatPlan::Member> members = regionOf(count);
        auto plans = plansOf(members);
        for (auto &[vm, plan] : plans) {
            std::map<VmId, std::size_t> lastRound;
            std::map<VmId, std::size_t> longestGap;
            constexpr std::size_t rounds = 40;
            for (std::size_t round = 1; round <= rounds; ++round) {
                const std::vector<VmId> receivers = plan.nextReceivers();
                REQUIRE(receivers.size() == HeartbeatSettings {}.mostReceivers);
                for (const VmId &receiver : receivers) {
                    longestGap[receiver] = std::max(longestGap[receiver], round - lastRound[receiver]);
                    lastRound[receiver] = round;
                }
            }
            CHECK(longestGap.size() == count - 1);
            for (const auto &[receiver, gap] : longestGap) {
                const HeartbeatPlan &other = plans.at(receiver);
                if (gap > other.heartbeatsBetween(vm)) {
                    FAIL_CHECK(receiver.text() << " hears " << vm.text() << " after " << gap);
                }
            }
        }
    }
}

TEST_CASE("HeartbeatPlan assigns the same number of watchers to each VM of a large region")
{
    // Guards against a VM whose death no VM reports, or only one that may be frozen itself.
    const std::vector<HeartbeatPlan::Member> members = regionOf(146);
    const auto plans = plansOf(members);
    for (const HeartbeatPlan::Member &member : members) {
        const auto watchers = std::count_if(plans.begin(), plans.end(), [&](const auto &entry) {
            return entry.second.isWatching(member.vm);
        });
        CHECK(static_cast<std::size_t>(watchers) == HeartbeatSettings {}.watchers);
    }
}
