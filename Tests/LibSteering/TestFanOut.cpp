#include <LibSteering/FanOut.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace Sapphire;

namespace {

/// Sends a message along the plan. Counts how often each VM gets it, and returns over how many VMs at most.
std::size_t deliver(const std::vector<VmId> &receivers, std::size_t mostBranches, std::map<VmId, int> &deliveries)
{
    std::size_t depth = 0;
    const std::vector<FanOutBranch> branches = planFanOut(receivers, mostBranches);
    CHECK(branches.size() <= mostBranches);
    for (const FanOutBranch &branch : branches) {
        ++deliveries[branch.vm];
        depth = std::max(depth, 1 + deliver(branch.forwardTo, mostBranches, deliveries));
    }
    return depth;
}

} // namespace

TEST_CASE("A fan-out reaches each receiver once, in few steps, with a bounded number of copies by each VM")
{
    // Guards against VMs that are left out, and against a sender whose link carries a copy for each of them.
    for (const std::size_t count : { 0U, 1U, 3U, 24U, 39U, 200U }) {
        CAPTURE(count);
        std::vector<VmId> receivers;
        for (std::size_t i = 0; i < count; ++i) {
            receivers.emplace_back("vm-" + std::to_string(i));
        }
        std::map<VmId, int> deliveries;
        const std::size_t depth = deliver(receivers, 3, deliveries);
        CHECK(deliveries.size() == count);
        CHECK(std::all_of(deliveries.begin(), deliveries.end(), [](const auto &delivery) {
            return delivery.second == 1;
        }));
        CHECK(depth <= 5);
        CHECK((count > 39 || depth <= 3));
    }
}
