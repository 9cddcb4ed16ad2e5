#include <LibSteering/FanOut.h>

#include <algorithm>

namespace Sapphire {

std::vector<FanOutBranch> planFanOut(const std::vector<VmId> &receivers, std::size_t mostBranches)
{
    const std::size_t count = std::min(receivers.size(), std::max<std::size_t>(mostBranches, 1));
    std::vector<FanOutBranch> branches;
    branches.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        branches.push_back({ receivers[i], {} });
    }
    for (std::size_t i = count; i < receivers.size(); ++i) {
        branches[i % count].forwardTo.push_back(receivers[i]);
    }
    return branches;
}

} // namespace Sapphire
