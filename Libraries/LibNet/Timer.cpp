#include <LibNet/Timer.h>

#include <LibNet/EventLoop.h>

namespace Sapphire {

Timer::Timer(EventLoop &loop, std::function<void()> callback) : m_loop(loop), m_callback(std::move(callback))
{
}

void Timer::start(Deadline deadline)
{
    stop();
    m_deadline = deadline;
    m_loop.m_timers.insert(*this);
}

void Timer::stop()
{
    if (is_linked()) {
        unlink();
    }
}

} // namespace Sapphire
