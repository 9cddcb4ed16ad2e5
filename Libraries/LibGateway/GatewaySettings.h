#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Ipv4Endpoint.h>
#include <LibGateway/WireNames.h>
#include <LibSteering/ColdStartLimiter.h>
#include <LibSteering/CustomerQuota.h>
#include <LibSteering/RatioBudget.h>

#include <map>

namespace Sapphire {

/// Settings of a Gateway.
struct GatewaySettings
{
    VmId vm;
    Locality locality;
    std::map<AvailabilityZoneId, RegionId> regionsByZone;
    Ipv4Endpoint callerAddress; ///< On which callers' requests are accepted.
    WireNames names;
    Milliseconds stopTimeout { 6'000 }; ///< From the signal to stop to the end of the process.
    RatioBudgetSettings retryBudget { 0.2, 0, Milliseconds(10'000) }; ///< For all VMs together.
    QuotaSettings quota;
    /// Changed rules are in force on all VMs after this time. A VM whose rules haven't been confirmed for longer may
    /// lack what it is asked for.
    Milliseconds rulesPropagationTime { 2'500 };
    ColdStartSettings coldStart;
};

} // namespace Sapphire
