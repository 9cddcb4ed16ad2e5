#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// One bucket for a customer as a whole: tells which requests were inside its rate and burst.
class ReferenceBucket
{
public:
    /// Starts full. Takes requests a second and requests.
    ReferenceBucket(double rate, double burst);

    /// Returns whether a request at this time is inside rate and burst, and takes its token.
    bool admit(TimePoint at);

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_last {};
    bool m_hasStarted { false };
};

} // namespace Sapphire
