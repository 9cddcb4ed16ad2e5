#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <cstdint>

namespace Sapphire {

/// The deployment and the load that policies are compared on. Its times are those of a read on the users' sites.
struct PolicyScenario
{
    int vms { 16 };
    int targets { 12 };
    int zones { 4 };
    int slots { 9 }; ///< Of each target.
    int queue { 27 }; ///< Requests that wait at each target before it turns others away.
    std::size_t objects { 74 };
    std::size_t warmObjects { 25 }; ///< That a target has at hand.
    double warmPart { 0.3 }; ///< Of the usual work, on an object that the target has at hand.
    Milliseconds work { 480 }; ///< On an object that it has not.
    double workSpread { 0.15 }; ///< Standard deviation, as a part of the work.
    Milliseconds wanted { 400 }; ///< An answer that takes longer is late.
    Milliseconds timeout { 1'200 }; ///< Of the route.
    Milliseconds callerDeadline { 2'500 };
    Microseconds roundTripInZone { 500 };
    Microseconds roundTripBetweenZones { 2'000 };
    double load { 1.0 }; ///< Requests, as a part of what all slots could serve without objects at hand.
    double firstZonePart { 0.4 }; ///< Of the requests, those that come to the first zone.
    Milliseconds duration { 30'000 };
    std::uint64_t seed { 1 };
};

} // namespace Sapphire
