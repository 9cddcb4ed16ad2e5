#include <LibSteering/FanOut.h>

namespace Sapphire {

std::vector<FanOutBranch> planFanOut(const std::vector<VmId> &receivers, std::size_t mostBranches)
{
    std::vector<FanOutBranch> branches;
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        if (i < mostBranches) {
            branches.push_back({ receivers[i], {} });
        } else {
            branches[i % mostBranches].forwardTo.push_back(receivers[i]);
        }
    }
    return branches;
}

} // namespace Sapphire
