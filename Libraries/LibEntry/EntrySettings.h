#pragma once

#include <LibCore/BytesPerSecond.h>
#include <LibGateway/GatewaySettings.h>

namespace Sapphire {

/// Settings of a VM that gets its rules and its target list from a platform.
struct EntrySettings
{
    GatewaySettings gateway;
    std::string platformAddress; ///< "ip:port" of the platform's store.
    std::string peerAddress; ///< "ip:port" for datagrams of other VMs.
    std::string readinessAddress; ///< "ip:port" for the platform's readiness checks; empty for none.
    std::string lookUpAddress; ///< "ip:port" for look-ups, by which callers find VMs; empty for none.
    std::string metricsAddress; ///< "ip:port"; empty for none.
    bool isFirstStart { false }; ///< The whole deployment starts for the first time.
    double processorShare { 1 }; ///< The part of a core that this VM may use.
    BytesPerSecond linkRate { 1'250'000 }; ///< Of this VM's link.
    Milliseconds longestLookUpTimeToLive { 5'000 }; ///< Callers use a longer one up to this only.
};

} // namespace Sapphire
