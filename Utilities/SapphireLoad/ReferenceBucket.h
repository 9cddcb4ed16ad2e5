#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// A single token bucket for a whole customer: decides which requests were inside its rate and burst.
class ReferenceBucket
{
public:
    /// Starts full. The rate is in requests a second, the burst in requests.
    ReferenceBucket(double rate, double burst);

    /// Returns whether a request at this time is inside rate and burst, and takes its token.
    bool admit(TimePoint at);

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_lastArrival {};
    bool m_hasStarted { false };
};

} // namespace Sapphire
