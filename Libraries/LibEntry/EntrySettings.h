#pragma once

#include <LibGateway/GatewaySettings.h>

namespace Sapphire {

/// Settings of a VM whose rules and list of targets lie on a platform.
struct EntrySettings
{
    GatewaySettings gateway;
    std::string platformAddress; ///< "ip:port" of the platform's store.
    std::string peerAddress; ///< "ip:port" for datagrams of other VMs.
    std::string readinessAddress; ///< "ip:port" for the platform's question whether this VM is ready; empty for none.
    std::string lookUpAddress; ///< "ip:port" for the callers' question which VMs to use; empty for none.
    std::string metricsAddress; ///< "ip:port"; empty for none.
    bool isFirstStart { false }; ///< The whole deployment starts for the first time.
    double processorShare { 1 }; ///< Of a core, that this VM has.
    Milliseconds longestLookUpTimeToLive { 5'000 }; ///< Callers ignore what goes beyond.
};

} // namespace Sapphire
