#pragma once

#include <LibCore/Deadline.h>
#include <LibSteering/CacheExpectation.h>
#include <LibSteering/ServingRules.h>

#include <array>
#include <unordered_map>

namespace Sapphire {

/// How long targets work on the requests of each route, learned from answers that had not to wait for a slot. Work on
/// an object that a target has at hand is several times shorter; how often that is so is learned for each degree of
/// knowledge.
class ProcessingTimes
{
public:
    /// Returns the time if the target has the object at hand, the shortest that work on the route takes as a rule.
    Microseconds warm(const Route &route) const;
    /// Returns the time if it has to get the object first.
    Microseconds cold(const Route &route) const;
    /// Returns how likely a target has the object at hand, from 0 to 1.
    double hitProbability(const Route &route, CacheExpectation warmth) const;
    /// Whether enough answers of the route are known to refuse a request by the expected time.
    bool isKnown(const Route &route) const;
    /// Learns from an answer that had not to wait for a slot. Returns whether the target had the object at hand.
    bool note(const Route &route, CacheExpectation warmth, Microseconds time);
    /// Forgets routes that are gone.
    void retain(const ServingRules &rules);

private:
    struct Share
    {
        double warm { 0 };
        int count { 0 }; ///< Answers that the average holds.
    };
    struct Times
    {
        Microseconds cold;
        Microseconds warm;
        int coldCount { 0 };
        int warmCount { 0 };
        std::array<Share, warmthCount> shares;
    };

    static Times initial(const Route &route);
    Times timesOf(const Route &route) const;

    std::unordered_map<RouteId, Times> m_times;
};

} // namespace Sapphire
