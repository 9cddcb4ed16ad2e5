#pragma once

#include <LibCore/Clock.h>

#include <atomic>

namespace Sapphire {

/// A clock that moves only when it is advanced, for tests of code that takes a Clock.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return TimePoint(Microseconds(m_now.load()));
    }
    Microseconds wallTime() const override
    {
        return Microseconds(m_now.load());
    }
    void advance(Microseconds interval)
    {
        m_now += interval.count();
    }

private:
    std::atomic<Microseconds::rep> m_now { 1'000'000'000 };
};

} // namespace Sapphire
