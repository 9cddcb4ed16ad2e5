#pragma once

#include <LibCore/Deadline.h>

#include <deque>

namespace Sapphire {

/// Timestamps of the events in a sliding window that ends now.
class EventWindow
{
public:
    void note(TimePoint at)
    {
        m_times.push_back(at);
    }
    /// Drops events before the window begins. Returns how many are left.
    std::size_t advance(TimePoint begin)
    {
        while (!m_times.empty() && m_times.front() < begin) {
            m_times.pop_front();
        }
        return m_times.size();
    }

private:
    std::deque<TimePoint> m_times; ///< Oldest first.
};

} // namespace Sapphire
