#pragma once

#include <LibCore/BootClock.h>

#include <algorithm>
#include <thread>

namespace Sapphire {

/// Measures for how long a thread that wants to run every few milliseconds was kept from it, by other load or because
/// the machine stood still. A test on the real clock prints it, so that a failure can be told from a stall.
class StallWatch
{
public:
    /// Ends the measurement and returns the longest time.
    Milliseconds stop()
    {
        m_thread.request_stop();
        m_thread.join();
        return std::chrono::duration_cast<Milliseconds>(m_longest);
    }

private:
    static constexpr Milliseconds interval { 10 };

    void run(const std::stop_token &stop)
    {
        const BootClock clock;
        TimePoint last = clock.now();
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(interval);
            const TimePoint now = clock.now();
            m_longest = std::max<Microseconds>(m_longest, now - last - interval);
            last = now;
        }
    }

    Microseconds m_longest { 0 };
    std::jthread m_thread { [this](const std::stop_token &stop) {
        run(stop);
    } };
};

} // namespace Sapphire
