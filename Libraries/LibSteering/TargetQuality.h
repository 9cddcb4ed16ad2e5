#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Compares the latency and failures of a target with what is expected, to detect targets that are slow or fail some of
/// their requests although they pass their health checks. Observations decay over time, so that a target that gets no
/// requests because of them is tried again.
class TargetQuality
{
public:
    /// An answer took the given time; the other one was expected.
    void noteAnswer(Microseconds time, Microseconds expected, TimePoint now);
    /// No answer came within the given time; a shorter one was expected.
    void noteTimeout(Microseconds time, Microseconds expected, TimePoint now);
    void noteFailure(TimePoint now);
    /// The target has restarted.
    void reset();

    /// Returns the factor by which requests take longer than expected; 1 for a normal target.
    double slowness(TimePoint now) const;
    /// Returns the fraction of recent requests that failed.
    double failureRate(TimePoint now) const;

private:
    double decayFactor(TimePoint now) const;
    void decay(TimePoint now);

    TimePoint m_notedAt {};
    double m_slowness { 1 };
    double m_failureRate { 0 };
};

} // namespace Sapphire
