#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <cstdint>

namespace Sapphire {

/// The deployment and the load in which policies are compared. The times are those of read requests in the users'
/// deployments.
struct PolicyScenario
{
    int vms { 16 };
    int targets { 12 };
    int zones { 4 };
    int slots { 9 }; ///< Per target.
    int queue { 27 }; ///< Requests that wait at each target before it sheds others.
    std::size_t objects { 74 };
    std::size_t cacheCapacity { 25 }; ///< Objects that a target caches.
    double warmWorkFactor { 0.3 }; ///< Factor of `work` for an object in the target's cache.
    Milliseconds work { 480 }; ///< Processing time of a request for an object that is not cached.
    double workDeviation { 0.15 }; ///< Standard deviation of the processing time, as a fraction of it.
    Milliseconds targetLatency { 400 }; ///< An answer that takes longer is late.
    Milliseconds timeout { 1'200 }; ///< Timeout of the route.
    Milliseconds callerDeadline { 2'500 };
    Microseconds roundTripInZone { 500 };
    Microseconds roundTripBetweenZones { 2'000 };
    double load { 1.0 }; ///< Requests, as a multiple of what all slots could process without cache hits.
    double firstZoneFraction { 0.4 }; ///< Fraction of requests sent to the first zone; the rest go to random zones.
    Milliseconds duration { 30'000 };
    std::uint64_t seed { 1 };
};

} // namespace Sapphire
