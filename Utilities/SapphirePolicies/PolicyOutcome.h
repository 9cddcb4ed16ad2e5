#pragma once

#include <LibCore/Deadline.h>

#include <vector>

namespace Sapphire {

/// What the callers of one simulation run got.
struct PolicyOutcome
{
    int requests { 0 }; ///< Of callers; retries of refused ones don't count again.
    int onTime { 0 };
    int late { 0 };
    int refused { 0 }; ///< Refused in the end; a refused caller retries while its deadline allows it.
    int failed { 0 }; ///< No answer within the route's timeout.
    int refusals { 0 }; ///< All refusals, including those of requests that callers retried.
    int sheds { 0 }; ///< Requests rejected by a full target.
    std::vector<Microseconds> times {}; ///< Times until the answers.
    std::vector<int> requestsByZone {};
    std::vector<int> onTimeByZone {};

    double onTimeRate() const;
    /// Returns the lowest rate of answers on time of all zones.
    double worstZoneOnTimeRate() const;
    /// Returns the time within which the fraction of the answers came; zero without answers.
    Microseconds percentile(double fraction) const;
};

} // namespace Sapphire
