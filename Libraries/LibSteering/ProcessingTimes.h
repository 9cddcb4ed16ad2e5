#pragma once

#include <LibCore/Deadline.h>
#include <LibSteering/CacheExpectation.h>
#include <LibSteering/ServingRules.h>

#include <array>
#include <unordered_map>

namespace Sapphire {

/// How long targets process the requests of each route, learned from requests that did not wait for a slot. Processing
/// is several times shorter if the target has the object in its cache (warm) than if it has to get it first (cold). How
/// often it has is learned for each CacheExpectation.
class ProcessingTimes
{
public:
    /// Returns the time if the object is in the target's cache, usually the shortest time for the route.
    Microseconds warm(const Route &route) const;
    /// Returns the time if the target has to get the object first.
    Microseconds cold(const Route &route) const;
    /// Returns the probability that the object is in the target's cache, from 0 to 1.
    double hitProbability(const Route &route, CacheExpectation expectation) const;
    /// Returns whether there were enough answers to refuse requests of the route because of the expected time.
    bool isKnown(const Route &route) const;
    /// Learns from the answer to a request that did not wait for a slot. Returns whether the object was in the target's
    /// cache, judged by the time.
    bool note(const Route &route, CacheExpectation expectation, Microseconds time);
    /// Drops the data of routes that the rules no longer have.
    void retain(const ServingRules &rules);

private:
    struct HitRate
    {
        double probability { 0 };
        int count { 0 }; ///< Number of answers in the average.
    };
    struct Times
    {
        Microseconds cold;
        Microseconds warm;
        int coldCount { 0 };
        int warmCount { 0 };
        std::array<HitRate, cacheExpectationCount> hitRates;
    };

    static Times initial(const Route &route);
    Times timesOf(const Route &route) const;

    std::unordered_map<RouteId, Times> m_times;
};

} // namespace Sapphire
