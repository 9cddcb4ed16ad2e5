#include <LibSteering/ProcessingTimes.h>

#include <LibCore/Duration.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Before anything is known: operators set a target latency somewhat below the work on an object that is not warm.
constexpr double firstColdPerTargetLatency = 1.4;
// Nor would they let requests run into the timeout as a rule.
constexpr double firstColdPerTimeout = 0.5;
constexpr double firstWarmPerCold = 0.45;
// By the order of Warmth.
constexpr std::array<double, warmthCount> firstWarmShares { 0.95, 0.8, 0.6, 0.1 };
// The weight of one answer in an average, and that of the first estimate in answers.
constexpr double leastStep = 0.05;
constexpr double firstWeight = 4;
constexpr int answersToKnow = 5;
// Answers that take longer than so many times the usual come from targets in trouble.
constexpr int mostTimesCold = 2;

double step(int count)
{
    return std::max(leastStep, 1.0 / (count + firstWeight));
}

std::size_t indexOf(CacheExpectation warmth)
{
    return static_cast<std::size_t>(warmth);
}

} // namespace

ProcessingTimes::Times ProcessingTimes::initial(const Route &route)
{
    const Microseconds cold =
        std::min(scaled(route.targetLatency, firstColdPerTargetLatency), scaled(route.timeout, firstColdPerTimeout));
    Times times { cold, scaled(cold, firstWarmPerCold), 0, 0, {} };
    for (std::size_t i = 0; i < times.shares.size(); ++i) {
        times.shares[i].warm = firstWarmShares[i];
    }
    return times;
}

ProcessingTimes::Times ProcessingTimes::timesOf(const Route &route) const
{
    const auto found = m_times.find(route.id);
    return found == m_times.end() ? initial(route) : found->second;
}

Microseconds ProcessingTimes::warm(const Route &route) const
{
    return timesOf(route).warm;
}

Microseconds ProcessingTimes::cold(const Route &route) const
{
    return timesOf(route).cold;
}

double ProcessingTimes::hitProbability(const Route &route, CacheExpectation warmth) const
{
    return timesOf(route).shares[indexOf(warmth)].warm;
}

bool ProcessingTimes::isKnown(const Route &route) const
{
    const Times times = timesOf(route);
    return times.coldCount + times.warmCount >= answersToKnow;
}

bool ProcessingTimes::note(const Route &route, CacheExpectation warmth, Microseconds time)
{
    Times &times = m_times.try_emplace(route.id, initial(route)).first->second;
    // Whether the target still had the object is not told, but the time shows it.
    const bool isWarm = time < (times.warm + times.cold) / 2;
    if (time > times.cold * mostTimesCold) {
        return isWarm;
    }
    Microseconds &average = isWarm ? times.warm : times.cold;
    int &count = isWarm ? times.warmCount : times.coldCount;
    ++count;
    average += scaled(time - average, step(count));
    Share &share = times.shares[indexOf(warmth)];
    ++share.count;
    share.warm += ((isWarm ? 1.0 : 0.0) - share.warm) * step(share.count);
    return isWarm;
}

void ProcessingTimes::retain(const ServingRules &rules)
{
    eraseGoneRoutes(m_times, rules);
}

} // namespace Sapphire
