#pragma once

#include <LibCore/Ids.h>

#include <map>

namespace Sapphire {

/// What the callers of each region ask for.
class RegionDemandSource
{
public:
    virtual ~RegionDemandSource() = default;

    /// Returns the requests of each region's callers for a service, in busy slots, as far as it is known.
    virtual std::map<RegionId, double> demandFor(const ServiceId &service) = 0;
};

} // namespace Sapphire
