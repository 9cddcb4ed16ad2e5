#pragma once

#include <LibCore/Ids.h>

#include <cstddef>
#include <vector>

namespace Sapphire {

/// A VM to which a message is sent, and the VMs to which that one forwards it.
struct FanOutBranch
{
    VmId vm;
    std::vector<VmId> forwardTo;
};

/// Divides the receivers of a message among branches, so that no VM sends it to more than that many others, whatever
/// the number of receivers; `mostBranches` is at least 1. Earlier receivers are nearer to the sender and forward to
/// more VMs.
std::vector<FanOutBranch> planFanOut(const std::vector<VmId> &receivers, std::size_t mostBranches);

} // namespace Sapphire
