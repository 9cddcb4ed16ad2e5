#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// How a target's answers compare with what is expected of its service. Answers targets that turn slow, or fail a part
/// of their requests, while their health check is good. What was seen fades, so that a target that gets no requests
/// because of it is tried again.
class TargetQuality
{
public:
    /// An answer took the given time where another was expected.
    void noteAnswer(Microseconds time, Microseconds expected, TimePoint now);
    /// No answer came within the given time where a shorter one was expected.
    void noteTimeout(Microseconds time, Microseconds expected, TimePoint now);
    void noteFailure(TimePoint now);
    /// The target has started anew.
    void reset();

    /// The factor by which work takes longer than expected, 1 for a usual target.
    double slowness(TimePoint now) const;
    /// Of recent requests, those that failed.
    double failureRate(TimePoint now) const;

private:
    double fading(TimePoint now) const;
    void fade(TimePoint now);

    TimePoint m_notedAt {};
    double m_slowness { 1 };
    double m_failureShare { 0 };
};

} // namespace Sapphire
