#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/Ipv4Endpoint.h>

#include <cstdint>

namespace Sapphire {

/// A VM's entry in the list of VMs: how callers and other VMs reach it, and what it can do for other VMs.
struct VmRecord
{
    VmId vm;
    Locality locality;
    Ipv4Endpoint callerAddress;
    Ipv4Endpoint peerAddress; ///< For datagrams from other VMs.
    std::int64_t startedAtMilliseconds { 0 }; ///< Unix time at which its process started.
    /// Duration of a call to the platform, measured when its process started; zero if unknown.
    Microseconds platformRoundTrip {};
    double processorShare { 1 }; ///< Of a core. VMs with more are preferred as readers, relays and zone leaders.
};

} // namespace Sapphire
