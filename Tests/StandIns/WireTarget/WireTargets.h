#pragma once

#include <LibCore/BootClock.h>
#include <StandIns/WireTarget/WireTarget.h>

#include <functional>
#include <thread>

namespace Sapphire {

/// A group of simulated targets that share one thread and its event loop.
class WireTargets
{
public:
    WireTargets();
    ~WireTargets();
    WireTargets(const WireTargets &) = delete;
    WireTargets &operator=(const WireTargets &) = delete;

    /// Starts a target on a free port of the address. It lives as long as the group.
    WireTarget &add(const std::string &id, const std::string &ip);
    /// Runs a function on the targets' thread and waits for it.
    void run(const std::function<void()> &function);
    /// Returns the requests that all targets have started to run, in no particular order.
    std::vector<WireTargetRun> runs() const;
    /// Returns the requests that all targets have turned away with a wish for a pause, in no particular order.
    std::vector<WireTargetPause> pauses() const;

private:
    BootClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    std::vector<std::unique_ptr<WireTarget>> m_targets;
    std::thread m_thread;
};

} // namespace Sapphire
