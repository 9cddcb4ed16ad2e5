#pragma once

#include <LibCore/BootClock.h>
#include <StandIns/WireTarget/WireTarget.h>

#include <functional>
#include <thread>

namespace Sapphire {

/// Stand-in targets on one thread.
class WireTargets
{
public:
    WireTargets();
    ~WireTargets();
    WireTargets(const WireTargets &) = delete;
    WireTargets &operator=(const WireTargets &) = delete;

    /// Starts a target at a free port of the address. It lives as long as the group.
    WireTarget &add(const std::string &id, const std::string &ip);
    /// Runs a function on the targets' thread and waits for it.
    void run(const std::function<void()> &function);
    /// Returns what all targets have run, in no order.
    std::vector<WireTargetRun> runs() const;

private:
    BootClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    std::vector<std::unique_ptr<WireTarget>> m_targets;
    std::thread m_thread;
};

} // namespace Sapphire
