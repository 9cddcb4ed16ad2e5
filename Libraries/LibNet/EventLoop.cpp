#include <LibNet/EventLoop.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Sapphire {

namespace {

constexpr int mostEventsPerRound = 64;
// Bounds the wait so that the loop soon notices when the clock jumped ahead while the process was suspended.
constexpr Milliseconds longestWait { 1'000 };
constexpr unsigned descriptorBits = 32;

std::uint32_t epollEvents(DescriptorInterest interest)
{
    std::uint32_t events = 0;
    if (interest.wantsRead) {
        events |= EPOLLIN | EPOLLRDHUP;
    }
    if (interest.wantsWrite) {
        events |= EPOLLOUT;
    }
    if (interest.wantsPeerClose) {
        events |= EPOLLRDHUP;
    }
    return events;
}

} // namespace

EventLoop::EventLoop(const Clock &clock, int pollDescriptor, int wakeDescriptor)
    : m_clock(clock), m_pollDescriptor(pollDescriptor), m_wakeDescriptor(wakeDescriptor), m_now(clock.now())
{
}

EventLoop::~EventLoop()
{
    m_timers.clear();
    ::close(m_wakeDescriptor);
    ::close(m_pollDescriptor);
}

Result<std::unique_ptr<EventLoop>> EventLoop::create(const Clock &clock)
{
    const int pollDescriptor = ::epoll_create1(EPOLL_CLOEXEC);
    if (pollDescriptor < 0) {
        return fail(ErrorCode::ResourceExhausted, std::string("epoll: ") + std::strerror(errno));
    }
    const int wakeDescriptor = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (wakeDescriptor < 0) {
        const int error = errno;
        ::close(pollDescriptor);
        return fail(ErrorCode::ResourceExhausted, std::string("eventfd: ") + std::strerror(error));
    }
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = static_cast<std::uint64_t>(wakeDescriptor);
    ::epoll_ctl(pollDescriptor, EPOLL_CTL_ADD, wakeDescriptor, &event);
    return std::unique_ptr<EventLoop>(new EventLoop(clock, pollDescriptor, wakeDescriptor));
}

void EventLoop::watch(int descriptor, DescriptorInterest interest, DescriptorListener &listener)
{
    const auto found = m_watches.find(descriptor);
    const bool isNew = found == m_watches.end();
    if (!isNew && found->second.interest == interest && found->second.listener == &listener) {
        return;
    }
    Watch &watch = m_watches[descriptor];
    watch.listener = &listener;
    watch.interest = interest;
    if (isNew) {
        watch.generation = m_nextGeneration++;
    }
    epoll_event event {};
    event.events = epollEvents(interest);
    event.data.u64 = (std::uint64_t { watch.generation } << descriptorBits) | static_cast<std::uint32_t>(descriptor);
    ::epoll_ctl(m_pollDescriptor, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, descriptor, &event);
}

void EventLoop::unwatch(int descriptor)
{
    if (m_watches.erase(descriptor) > 0) {
        ::epoll_ctl(m_pollDescriptor, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

void EventLoop::later(Task task)
{
    m_laterTasks.push_back(std::move(task));
}

bool EventLoop::post(Task task)
{
    if (!m_postedTasks.tryPush(std::move(task))) {
        return false;
    }
    wake();
    return true;
}

void EventLoop::run()
{
    while (!m_isStopped) {
        runOnce(Deadline::after(m_clock.now(), longestWait));
    }
}

void EventLoop::runOnce(Deadline deadline)
{
    m_now = m_clock.now();
    handleDescriptors(waitMilliseconds(deadline));
    runPostedTasks();
    handleTimers();
    runLaterTasks();
}

void EventLoop::stop()
{
    m_isStopped = true;
    wake();
}

void EventLoop::wake() const
{
    const std::uint64_t one = 1;
    // Writing fails only if the counter is full, and then a wake-up is already pending.
    [[maybe_unused]] const ssize_t written = ::write(m_wakeDescriptor, &one, sizeof one);
}

int EventLoop::waitMilliseconds(Deadline deadline) const
{
    if (!m_laterTasks.empty()) {
        return 0;
    }
    Deadline end = deadline;
    if (!m_timers.empty()) {
        end = end.earlier(m_timers.begin()->deadline());
    }
    const Microseconds wait = std::min<Microseconds>(end.remaining(m_now), longestWait);
    return static_cast<int>(std::chrono::ceil<Milliseconds>(wait).count());
}

void EventLoop::handleDescriptors(int waitMilliseconds)
{
    std::array<epoll_event, mostEventsPerRound> events;
    const int count = ::epoll_wait(m_pollDescriptor, events.data(), mostEventsPerRound, waitMilliseconds);
    m_now = m_clock.now();
    for (int i = 0; i < count; ++i) {
        const epoll_event &event = events.at(static_cast<std::size_t>(i));
        const auto generation = static_cast<std::uint32_t>(event.data.u64 >> descriptorBits);
        const auto descriptor = static_cast<int>(static_cast<std::uint32_t>(event.data.u64));
        if (descriptor == m_wakeDescriptor) {
            std::uint64_t value = 0;
            [[maybe_unused]] const ssize_t bytes = ::read(m_wakeDescriptor, &value, sizeof value);
            continue;
        }
        const auto found = m_watches.find(descriptor);
        // An earlier event of this round may have closed the descriptor, and a new one may have got its number.
        if (found == m_watches.end() || found->second.generation != generation) {
            continue;
        }
        DescriptorEvents ready;
        ready.isReadable = (event.events & EPOLLIN) != 0;
        ready.isWritable = (event.events & EPOLLOUT) != 0;
        ready.isPeerClosed = (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
        found->second.listener->descriptorReady(ready);
    }
}

void EventLoop::handleTimers()
{
    while (!m_timers.empty()) {
        Timer &timer = *m_timers.begin();
        if (!timer.deadline().hasPassed(m_now)) {
            return;
        }
        timer.stop();
        // Copied, since the callback may destroy the timer.
        const auto callback = timer.m_callback;
        callback();
    }
}

void EventLoop::runLaterTasks()
{
    std::vector<Task> tasks;
    tasks.swap(m_laterTasks);
    for (const Task &task : tasks) {
        task();
    }
}

void EventLoop::runPostedTasks()
{
    while (const std::optional<Task> task = m_postedTasks.pop(Microseconds::zero())) {
        (*task)();
    }
}

} // namespace Sapphire
