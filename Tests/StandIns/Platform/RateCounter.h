#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>
#include <deque>
#include <mutex>

namespace Sapphire {

/// Counts events and their highest number within any one second. Safe to share between threads.
class RateCounter
{
public:
    void add(TimePoint now);
    void clear();
    std::uint64_t count() const;
    std::uint64_t mostPerSecond() const;

private:
    mutable std::mutex m_mutex;
    std::deque<TimePoint> m_lastSecond;
    std::uint64_t m_count { 0 };
    std::uint64_t m_mostPerSecond { 0 };
};

} // namespace Sapphire
