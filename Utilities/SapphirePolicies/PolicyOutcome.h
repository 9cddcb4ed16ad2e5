#pragma once

#include <LibCore/Deadline.h>

#include <vector>

namespace Sapphire {

/// What callers got in one run.
struct PolicyOutcome
{
    int asked { 0 };
    int onTime { 0 };
    int late { 0 };
    int refused { 0 }; ///< In the end; a refused caller comes back while its deadline allows it.
    int failed { 0 }; ///< No answer within the route's timeout.
    int refusals { 0 }; ///< All, those of callers that came back included.
    int sheds { 0 }; ///< Requests that a target turned away.
    std::vector<Microseconds> times {}; ///< Of the answers.
    std::vector<int> askedByZone {};
    std::vector<int> onTimeByZone {};

    double onTimeShare() const;
    /// The share of the zone that fares worst.
    double worstZoneShare() const;
    /// Returns the time within which the part of all answers came; zero without answers.
    Microseconds percentile(double part) const;
};

} // namespace Sapphire
