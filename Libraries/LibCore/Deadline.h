#pragma once

#include <chrono>
#include <compare>

namespace Sapphire {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/// Time since the machine started, including the time that it was suspended.
struct BootTime
{
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootTime>;
};

using TimePoint = BootTime::time_point;

/// The point in time by which an operation has to end. Timeouts received as durations are converted on receipt.
class Deadline
{
public:
    Deadline() = default;
    explicit Deadline(TimePoint at) : m_at(at)
    {
    }

    static Deadline after(TimePoint now, Microseconds interval)
    {
        return Deadline(now + interval);
    }
    static Deadline never()
    {
        return Deadline(TimePoint::max());
    }

    TimePoint at() const
    {
        return m_at;
    }
    bool hasPassed(TimePoint now) const
    {
        return now >= m_at;
    }
    /// Returns the time left, zero if the deadline has passed.
    Microseconds remaining(TimePoint now) const
    {
        return hasPassed(now) ? Microseconds::zero() : m_at - now;
    }
    Deadline earlier(Deadline other) const
    {
        return other.m_at < m_at ? other : *this;
    }

    friend auto operator<=>(const Deadline &, const Deadline &) = default;

private:
    TimePoint m_at {};
};

} // namespace Sapphire
