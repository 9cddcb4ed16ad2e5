#pragma once

#include <LibSteering/Demand.h>

namespace Sapphire {

/// Provides the demand of each region's callers.
class RegionDemandSource
{
public:
    virtual ~RegionDemandSource() = default;

    /// Returns the demand of each region's callers for a service, as far as it is known.
    virtual std::map<RegionId, Demand> demandFor(const ServiceId &service) = 0;
};

} // namespace Sapphire
