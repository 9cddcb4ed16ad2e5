#pragma once

#include <LibCore/Deadline.h>

#include <boost/intrusive/set.hpp>

#include <functional>

namespace Sapphire {

class EventLoop;

/// Calls a function once on the loop's thread when its deadline has passed. Destroying the timer stops it.
class Timer : public boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Starts the timer, or changes its deadline if it is running.
    void start(Deadline deadline);
    void stop();
    bool isRunning() const
    {
        return is_linked();
    }
    Deadline deadline() const
    {
        return m_deadline;
    }

    friend bool operator<(const Timer &left, const Timer &right)
    {
        return left.m_deadline < right.m_deadline;
    }

private:
    friend class EventLoop;
    using Queue = boost::intrusive::multiset<Timer, boost::intrusive::constant_time_size<false>>;

    EventLoop &m_loop;
    std::function<void()> m_callback;
    Deadline m_deadline;
};

} // namespace Sapphire
