#include <LibSteering/RequestQueueing.h>

#include <LibCore/Duration.h>

#include <algorithm>

namespace Sapphire {

namespace {

// A request that will be late waits for a free slot for this part of its time at most; then it is refused.
constexpr double mostLateWait = 0.5;
// With this part of its timeout left, a request is not refused for an estimate alone.
constexpr double fairPart = 0.5;
// Callers come back within this part of the time that they have left.
constexpr double retryPart = 0.33;
constexpr double leastRetrySpread = 0.5;
// The time left counts as at most so many times the timeout of the route.
constexpr int mostTimeouts = 2;

} // namespace

bool RequestQueueing::isUnmeetable(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now)
{
    // With a free slot and most of its time left, nothing is known against the request but an estimate, which would
    // never be corrected if all requests of a route were refused for it.
    const Microseconds left = times.giveUpAt.remaining(now);
    const bool isGuess = !forecast.isWorkKnown || left >= scaled(times.timeout, fairPart);
    const bool hasFairChance = forecast.hasFreeSlot && isGuess;
    return !hasFairChance && forecast.time > left;
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
    return isTooLate || now - times.arrivedAt > scaled(whole, mostLateWait);
}

Deadline RequestQueueing::retryAt(const RequestTimes &times, double random, TimePoint now)
{
    const Microseconds left = std::min<Microseconds>(times.callerDeadline.remaining(now), times.timeout * mostTimeouts);
    const double spread = leastRetrySpread + (1 - leastRetrySpread) * random;
    return Deadline::after(now, scaled(left, retryPart * spread));
}

} // namespace Sapphire
