#include <LibSteering/RequestQueueing.h>

#include <LibCore/Duration.h>

#include <algorithm>

namespace Sapphire {

namespace {

// A request that will be late waits for a free slot for this fraction of its time at most; then it is refused.
constexpr double mostWaitFraction = 0.5;
// With this fraction of its timeout left, a request is not refused because of an estimate alone.
constexpr double leastFractionToTry = 0.5;
// Callers retry within this fraction of the time that they have left.
constexpr double retryFraction = 0.33;
constexpr double leastRetrySpread = 0.5;
// The time left counts as at most this many timeouts of the route.
constexpr int mostTimeouts = 2;
constexpr Milliseconds leastReturnTime { 200 };

/// Returns for how long a refused caller may wait before it retries.
Microseconds longestRetryWait(const RequestTimes &times, TimePoint now)
{
    const Microseconds left = std::min<Microseconds>(times.callerDeadline.remaining(now), times.timeout * mostTimeouts);
    return scaled(left, retryFraction);
}

} // namespace

bool RequestQueueing::isUnmeetable(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now)
{
    // With a free slot and enough time left, only an estimate speaks against the request. It would never be corrected
    // if all requests of a route were refused because of it.
    const Microseconds left = times.giveUpAt.remaining(now);
    const bool isUncertain = !forecast.isWorkKnown || left >= scaled(times.timeout, leastFractionToTry);
    const bool isWorthTrying = forecast.hasFreeSlot && isUncertain;
    return !isWorthTrying && forecast.time > left;
}

bool RequestQueueing::maySend(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now)
{
    return forecast.hasFreeSlot || isOnTime(times, forecast, now);
}

bool RequestQueueing::isOnTime(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now)
{
    return now + forecast.time <= times.wantedBy.at();
}

bool RequestQueueing::mustStopWaiting(const RequestTimes &times, Microseconds work, TimePoint now)
{
    const Microseconds whole = times.giveUpAt.at() - times.arrivedAt;
    const bool isTooLate = times.giveUpAt.hasPassed(now + work);
    return isTooLate || now - times.arrivedAt > scaled(whole, mostWaitFraction);
}

Deadline RequestQueueing::retryAt(const RequestTimes &times, double random, TimePoint now)
{
    const double spread = leastRetrySpread + (1 - leastRetrySpread) * random;
    return Deadline::after(now, scaled(longestRetryWait(times, now), spread));
}

Deadline RequestQueueing::retryFrom(const RequestTimes &times, Deadline opensAt, double random, TimePoint now)
{
    const Microseconds longest = longestRetryWait(times, now);
    const Microseconds closed = opensAt.remaining(now);
    if (closed >= longest) {
        return retryAt(times, random, now);
    }
    // Those who are refused in a pause come back over about as long a time, so at about the rate at which they came.
    const Microseconds spread = std::min(longest - closed, std::max<Microseconds>(closed, leastReturnTime));
    return Deadline::after(now, closed + scaled(spread, random));
}

} // namespace Sapphire
