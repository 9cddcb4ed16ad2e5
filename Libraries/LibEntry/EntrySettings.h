#pragma once

#include <LibCore/BytesPerSecond.h>
#include <LibGateway/GatewaySettings.h>

#include <optional>
#include <string>

namespace Sapphire {

/// Settings of a VM that gets its rules and its target list from a platform.
struct EntrySettings
{
    GatewaySettings gateway;
    Ipv4Endpoint platformAddress; ///< Of the platform's store.
    Ipv4Endpoint peerAddress; ///< For datagrams of other VMs.
    std::optional<Ipv4Endpoint> readinessAddress; ///< For the platform's readiness checks.
    std::optional<Ipv4Endpoint> lookUpAddress; ///< For look-ups, by which callers find VMs.
    std::optional<Ipv4Endpoint> metricsAddress;
    bool isFirstStart { false }; ///< The whole deployment starts for the first time.
    double processorShare { 1 }; ///< The part of a core that this VM may use.
    BytesPerSecond linkRate { 1'250'000 }; ///< Of this VM's link.
    Milliseconds longestLookUpTimeToLive { 5'000 }; ///< Callers use a longer one up to this only.
};

} // namespace Sapphire
