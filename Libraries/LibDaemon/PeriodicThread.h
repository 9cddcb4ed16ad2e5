#pragma once

#include <LibCore/Clock.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace Sapphire {

/// A thread that runs one duty again and again until it is stopped.
class DutyThread
{
public:
    /// Runs the duty, then waits until the interval since its last start has passed.
    DutyThread(std::string name, Milliseconds interval, std::function<void()> duty);
    ~DutyThread();

    void stop();
    /// Runs the duty again at once. Any thread may call it.
    void runSoon();

private:
    void run();

    std::string m_name;
    Milliseconds m_interval;
    std::function<void()> m_duty;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping { false };
    bool m_isDue { false };
    std::thread m_thread;
};

} // namespace Sapphire
