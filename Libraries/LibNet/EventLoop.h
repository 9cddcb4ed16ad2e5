#pragma once

#include <LibCore/BoundedRing.h>
#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibNet/Timer.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Sapphire {

/// The events of a file descriptor.
struct DescriptorEvents
{
    bool isReadable { false };
    bool isWritable { false };
    /// The peer has closed its side or the connection has failed.
    bool isPeerClosed { false };
};

/// Handles the events of a file descriptor.
class DescriptorListener
{
public:
    virtual ~DescriptorListener() = default;

    virtual void descriptorReady(const DescriptorEvents &events) = 0;
};

/// The events of a file descriptor to watch for.
struct DescriptorInterest
{
    bool wantsRead { true };
    bool wantsWrite { false };
    bool wantsPeerClose { false }; ///< Reported also while the descriptor is not read.

    friend bool operator==(const DescriptorInterest &, const DescriptorInterest &) = default;
};

/// Waits for file descriptors and timers on one thread and calls their listeners and callbacks there. Only post() and
/// stop() may be called from other threads.
class EventLoop
{
public:
    using Task = std::function<void()>;

    /// Fails with ResourceExhausted if the system has no file descriptors left.
    [[nodiscard]] static Result<std::unique_ptr<EventLoop>> create(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    const Clock &clock() const
    {
        return m_clock;
    }
    /// The time at which the current round of events began.
    TimePoint now() const
    {
        return m_now;
    }

    /// Calls the listener for events of the descriptor until unwatch(). Calling it again changes the interest or
    /// listener.
    void watch(int descriptor, DescriptorInterest interest, DescriptorListener &listener);
    void unwatch(int descriptor);

    /// Runs the task on the loop's thread after the current round of events.
    void later(Task task);
    /// Queues the task to run on the loop's thread. Any thread may call it. Returns false if the queue is full.
    [[nodiscard]] bool post(Task task);

    /// Handles events until stop() is called.
    void run();
    /// Waits for events, at most until the deadline, and handles one round of them.
    void runOnce(Deadline deadline);
    /// Makes run() return. Any thread may call it.
    void stop();

private:
    friend class Timer;

    struct Watch
    {
        DescriptorListener *listener;
        std::uint32_t generation;
        DescriptorInterest interest;
    };

    /// Capacity of the queue of posted tasks.
    static constexpr std::size_t postedTasks = 1024;

    EventLoop(const Clock &clock, int pollDescriptor, int wakeDescriptor);

    void wake() const;
    void handleDescriptors(int waitMilliseconds);
    void handleTimers();
    void runLaterTasks();
    void runPostedTasks();
    int waitMilliseconds(Deadline deadline) const;

    const Clock &m_clock;
    int m_pollDescriptor;
    int m_wakeDescriptor;
    TimePoint m_now;
    std::uint32_t m_nextGeneration { 1 };
    std::unordered_map<int, Watch> m_watches;
    Timer::Queue m_timers;
    std::vector<Task> m_laterTasks;
    BoundedRing<Task> m_postedTasks { postedTasks };
    std::atomic<bool> m_isStopped { false };
};

} // namespace Sapphire
