#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EventLog.h>
#include <LibCore/Result.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace Sapphire {

struct SourcePollerSettings
{
    const EventType &lost; ///< Logged when a step fails after one that succeeded.
    const EventType &back; ///< Logged when a step succeeds after one that failed.
    /// Between the starts of two steps; nothing if a step is made only when runSoon() asks for it.
    std::optional<Milliseconds> interval {};
    /// Between the starts of two steps that runSoon() asks for.
    Milliseconds shortestInterval { 0 };
    /// Between the starts of two steps after one that failed; nothing if runSoon() asks for the next one.
    std::optional<Milliseconds> retryInterval {};
};

/// A thread that follows one source of the platform step by step.
class SourcePoller
{
public:
    /// The step may block; it does so for a bounded time.
    SourcePoller(const SourcePollerSettings &settings, const Clock &clock, std::function<Result<void>()> step);
    /// Waits until the current step has ended.
    ~SourcePoller();

    /// Makes a step at once, or as soon as the shortest interval allows. Any thread may call it.
    void runSoon();

private:
    void run();
    /// Returns whether the watch is ending.
    bool waitUntil(Deadline deadline, Deadline earliest);

    SourcePollerSettings m_settings;
    const Clock &m_clock;
    std::function<Result<void>()> m_step;
    bool m_isLost { false };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isEnding { false };
    bool m_isDue { false };
    std::thread m_thread;
};

} // namespace Sapphire
