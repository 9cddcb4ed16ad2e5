#pragma once

#include <LibCore/Ids.h>

#include <map>

namespace Sapphire {

/// The demand of callers for one service, as the number of slots that it keeps busy.
struct Demand
{
    double free { 0 }; ///< Of requests that may run in several regions.
    std::map<RegionId, double> bound; ///< Of requests that may run in one region only.

    Demand &operator+=(const Demand &other)
    {
        free += other.free;
        for (const auto &[region, slots] : other.bound) {
            bound[region] += slots;
        }
        return *this;
    }
};

/// The demand of callers for each service.
using ServiceDemands = std::map<ServiceId, Demand>;

} // namespace Sapphire
