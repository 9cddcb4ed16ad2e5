#pragma once

#include <LibCore/Ids.h>

#include <map>

namespace Sapphire {

/// Provides the demand of each region's callers.
class RegionDemandSource
{
public:
    virtual ~RegionDemandSource() = default;

    /// Returns the demand of each region's callers for a service, as far as it is known, as the number of slots that it
    /// keeps busy.
    virtual std::map<RegionId, double> demandFor(const ServiceId &service) = 0;
};

} // namespace Sapphire
