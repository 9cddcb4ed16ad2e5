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

/// What happened at a descriptor.
struct DescriptorEvents
{
    bool isReadable { false };
    bool isWritable { false };
    /// The peer has closed its side or the connection has failed.
    bool isPeerClosed { false };
};

/// Is told when a descriptor can be read or written.
class DescriptorListener
{
public:
    virtual ~DescriptorListener() = default;

    virtual void descriptorReady(const DescriptorEvents &events) = 0;
};

/// Which events of a descriptor are wanted.
struct DescriptorInterest
{
    bool wantsRead { true };
    bool wantsWrite { false };

    friend bool operator==(const DescriptorInterest &, const DescriptorInterest &) = default;
};

/// Waits for descriptors and timers on one thread and calls their listeners there. All members but post() and stop()
/// belong to that thread.
class EventLoop
{
public:
    using Task = std::function<void()>;

    /// Fails with ResourceExhausted if the system gives no descriptors.
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

    /// Reports events of the descriptor until unwatch(). Calling it again changes the interest.
    void watch(int descriptor, DescriptorInterest interest, DescriptorListener &listener);
    void unwatch(int descriptor);

    /// Runs the task on the loop's thread after the current round of events.
    void later(Task task);
    /// Runs the task on the loop's thread. Any thread may call it. Returns false if too many tasks are waiting.
    [[nodiscard]] bool post(Task task);

    /// Handles events until stop().
    void run();
    /// Waits for events until the deadline at most and handles them once.
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

    /// Tasks that other threads may leave waiting.
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
