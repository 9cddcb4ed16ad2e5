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
    /// Time between the starts of two steps; nothing if steps run only after runSoon().
    std::optional<Milliseconds> interval {};
    /// Least time between the starts of two steps if runSoon() asks for the second one.
    Milliseconds shortestInterval { 0 };
    /// Time between the starts of a failed step and the next one; nothing if the next one runs only after runSoon().
    std::optional<Milliseconds> retryInterval {};
};

/// A thread that polls one source of the platform: it runs a step at intervals or on demand, and logs when the source
/// is lost or back.
class SourcePoller
{
public:
    /// The step may block; it does so for a bounded time.
    SourcePoller(const SourcePollerSettings &settings, const Clock &clock, std::function<Result<void>()> step);
    /// Waits until the current step has ended.
    ~SourcePoller();

    /// Runs a step at once, or as soon as the shortest interval allows. Any thread may call it.
    void runSoon();

private:
    void run();
    /// Returns whether the poller is ending.
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
