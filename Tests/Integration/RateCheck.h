#pragma once

#include <Integration/TargetLedger.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Sapphire {

/// Bound of the time from the admission of a request to its start at a target: a hop on loopback, since the targets
/// have far more slots than the load needs, and scheduling delays on a busy machine. The starts in a window may have
/// been admitted in a window that is longer by this time.
inline constexpr double startDelaySeconds = 0.1;

/// A customer's rate and the time from which it applies.
struct RateFrom
{
    TimePoint from;
    double rate;
};

inline double tokensUntil(TimePoint time, const std::vector<RateFrom> &rates)
{
    double tokens = 0;
    for (std::size_t i = 0; i < rates.size() && rates[i].from < time; ++i) {
        const TimePoint end = i + 1 < rates.size() ? std::min(time, rates[i + 1].from) : time;
        tokens += rates[i].rate * std::chrono::duration<double>(end - rates[i].from).count();
    }
    return tokens;
}

/// Returns the maximum, over all time windows, of the starts minus the refill of the bucket in the window. It must not
/// exceed the burst.
inline double maxAboveRefill(std::vector<TimePoint> starts, const std::vector<RateFrom> &rates)
{
    std::sort(starts.begin(), starts.end());
    double most = 0;
    double least = 0;
    for (std::size_t i = 0; i < starts.size(); ++i) {
        const double before = static_cast<double>(i) - tokensUntil(starts[i], rates);
        least = i == 0 ? before : std::min(least, before);
        most = std::max(most, before + 1 - least);
    }
    return most;
}

inline std::vector<TimePoint> startsOf(Deployment &deployment, const std::string &customer)
{
    std::vector<TimePoint> starts;
    for (const LedgerEntry &entry : readLedger(deployment)) {
        if (entry.customer == customer) {
            starts.push_back(entry.startedAt);
        }
    }
    return starts;
}

} // namespace Sapphire
