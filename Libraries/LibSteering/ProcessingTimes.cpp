#include <LibSteering/ProcessingTimes.h>

#include <LibCore/Duration.h>

#include <algorithm>

namespace Sapphire {

namespace {

// Estimates before the first answer: operators set the target latency somewhat below the cold processing time, ...
constexpr double initialColdPerTargetLatency = 1.4;
// ... and the timeout so that requests don't usually exceed it.
constexpr double initialColdPerTimeout = 0.5;
constexpr double initialWarmPerCold = 0.45;
// In the order of the enumerators of CacheExpectation.
constexpr std::array<double, cacheExpectationCount> initialHitRates { 0.95, 0.8, 0.6, 0.1 };
// The least weight of one answer in an average, and the weight of the initial estimate, in answers.
constexpr double leastWeight = 0.05;
constexpr double initialWeight = 4;
constexpr int answersToKnow = 5;
// Answers that take longer than this multiple of the cold time come from faulty or overloaded targets and are ignored.
constexpr int outlierFactor = 2;

double answerWeight(int count)
{
    return std::max(leastWeight, 1.0 / (count + initialWeight));
}

std::size_t indexOf(CacheExpectation expectation)
{
    return static_cast<std::size_t>(expectation);
}

} // namespace

ProcessingTimes::Times ProcessingTimes::initial(const Route &route)
{
    const Microseconds cold = std::min(scaled(route.targetLatency, initialColdPerTargetLatency),
                                       scaled(route.timeout, initialColdPerTimeout));
    Times times { cold, scaled(cold, initialWarmPerCold), 0, 0, {} };
    for (std::size_t i = 0; i < times.hitRates.size(); ++i) {
        times.hitRates[i].probability = initialHitRates[i];
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

double ProcessingTimes::hitProbability(const Route &route, CacheExpectation expectation) const
{
    return timesOf(route).hitRates[indexOf(expectation)].probability;
}

bool ProcessingTimes::isKnown(const Route &route) const
{
    const Times times = timesOf(route);
    return times.coldCount + times.warmCount >= answersToKnow;
}

bool ProcessingTimes::note(const Route &route, CacheExpectation expectation, Microseconds time)
{
    Times &times = m_times.try_emplace(route.id, initial(route)).first->second;
    // The target doesn't report whether the object was in its cache, but the time shows it.
    const bool isWarm = time < (times.warm + times.cold) / 2;
    if (time > times.cold * outlierFactor) {
        return isWarm;
    }
    Microseconds &average = isWarm ? times.warm : times.cold;
    int &count = isWarm ? times.warmCount : times.coldCount;
    ++count;
    average += scaled(time - average, answerWeight(count));
    HitRate &hitRate = times.hitRates[indexOf(expectation)];
    ++hitRate.count;
    hitRate.probability += ((isWarm ? 1.0 : 0.0) - hitRate.probability) * answerWeight(hitRate.count);
    return isWarm;
}

void ProcessingTimes::retain(const ServingRules &rules)
{
    eraseGoneRoutes(m_times, rules);
}

} // namespace Sapphire
