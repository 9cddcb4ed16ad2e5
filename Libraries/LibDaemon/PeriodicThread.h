#pragma once

#include <LibCore/Clock.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace Sapphire {

/// A thread that runs a task at a regular interval until it is stopped.
class PeriodicThread
{
public:
    /// Runs the task at once, then again when the interval since the start of the last run has passed.
    PeriodicThread(std::string name, Milliseconds interval, std::function<void()> task);
    ~PeriodicThread();

    void stop();
    /// Runs the task again at once, or right after a current run. Safe to call from any thread.
    void runSoon();

private:
    void run();

    std::string m_name;
    Milliseconds m_interval;
    std::function<void()> m_task;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping { false };
    bool m_isDue { false };
    std::thread m_thread;
};

} // namespace Sapphire
