#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sapphire {

/// The addresses of a VM's endpoints.
struct VmEndpoints
{
    std::string address; ///< IP address.
    std::uint16_t callerPort { 0 };
    std::uint16_t fleetPort { 0 };

    friend auto operator<=>(const VmEndpoints &, const VmEndpoints &) = default;
};

struct ListedVm
{
    VmId vm;
    Locality locality;
    VmEndpoints endpoints;
    bool isLeaving { false };
};

/// The platform's list of live and leaving VMs. It lags behind the actual state.
class VmDirectory
{
public:
    virtual ~VmDirectory() = default;

    /// Fails with Unavailable or Timeout.
    [[nodiscard]] virtual Result<std::vector<ListedVm>> list(Deadline deadline) = 0;
};

} // namespace Sapphire
