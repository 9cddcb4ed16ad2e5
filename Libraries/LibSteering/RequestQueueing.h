#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// The times of a request that decide whether it waits.
struct RequestTimes
{
    TimePoint arrivedAt {};
    Deadline wantedBy {}; ///< Its answer is late after this.
    Deadline giveUpAt {}; ///< Its answer is of no use after this.
    Deadline callerDeadline {}; ///< Its caller may retry until this.
    Microseconds timeout {}; ///< Of its route.
};

/// When the best target is expected to answer a request.
struct AnswerForecast
{
    Microseconds time {}; ///< Expected time until the answer.
    bool hasFreeSlot { false }; ///< Whether the target is expected to begin at once.
    bool isWorkKnown { true }; ///< Whether the time is based on answers of the request's route.
};

/// Decides whether a request is sent, waits at this VM or is refused. When there are more requests than slots, those
/// that will be late anyway leave the queues of the targets to those that can still be on time, and those that can't
/// end in time are refused while their callers still have time to retry.
class RequestQueueing
{
public:
    /// Whether a new request is refused at once, since the best target can't answer it in time.
    static bool isUnmeetable(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now);
    /// Whether a request goes to the best target now; it waits otherwise.
    static bool maySend(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now);
    /// Whether the answer comes before it is late.
    static bool isOnTime(const RequestTimes &times, const AnswerForecast &forecast, TimePoint now);
    /// Whether a waiting request is refused, since it can't end in time any more or has waited too long. `work` is the
    /// shortest processing time that a target may need for it.
    static bool mustStopWaiting(const RequestTimes &times, Microseconds work, TimePoint now);
    /// When a refused caller should retry: early enough to be served, and spread by a random number in [0, 1) so that
    /// the callers don't retry together.
    static Deadline retryAt(const RequestTimes &times, double random, TimePoint now);
    /// When a caller should retry that is refused because no target takes its request before `opensAt`: from then on,
    /// spread by a random number in [0, 1). As retryAt() if the caller can't wait so long.
    static Deadline retryFrom(const RequestTimes &times, Deadline opensAt, double random, TimePoint now);
};

} // namespace Sapphire
