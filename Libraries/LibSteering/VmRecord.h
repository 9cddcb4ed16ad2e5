#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// How other VMs and callers reach a VM.
struct VmRecord
{
    VmId vm;
    Locality place;
    std::string callerAddress; ///< "ip:port".
    std::string peerAddress; ///< "ip:port" for datagrams of other VMs.
    std::int64_t startedAtMilliseconds { 0 }; ///< Unix time of the start of its process.
    /// What a call to the platform took when its process started; zero if that is not known.
    Microseconds platformRoundTrip {};
    double processorShare { 1 }; ///< Of a core. VMs with more of it do more of what one VM does for others.
};

} // namespace Sapphire
