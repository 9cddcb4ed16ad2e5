#include <LibEntry/SourcePoller.h>

#include <algorithm>

namespace Sapphire {

SourcePoller::SourcePoller(const SourcePollerSettings &settings, const Clock &clock, std::function<Result<void>()> step)
    : m_settings(settings), m_clock(clock), m_step(std::move(step)), m_thread([this] {
        run();
    })
{
}

SourcePoller::~SourcePoller()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isEnding = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void SourcePoller::runSoon()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isDue = true;
    }
    m_changed.notify_all();
}

void SourcePoller::run()
{
    Deadline next = m_settings.interval ? Deadline(m_clock.now()) : Deadline::never();
    Deadline earliest {};
    while (!waitUntil(next, earliest)) {
        const TimePoint begin = m_clock.now();
        const Outcome<void> outcome = capture(m_step);
        if (!outcome && !m_isLost) {
            logEvent(m_settings.lost, { { "reason", outcome.error().message } });
        } else if (outcome && m_isLost) {
            logEvent(m_settings.back, {});
        }
        m_isLost = !outcome;
        earliest = Deadline::after(begin, m_settings.shortestInterval);
        const std::optional<Milliseconds> interval = m_isLost ? m_settings.retryInterval : m_settings.interval;
        next = interval ? Deadline::after(begin, *interval) : Deadline::never();
    }
}

bool SourcePoller::waitUntil(Deadline deadline, Deadline earliest)
{
    // Long enough to cost no processor time, and short enough not to overflow the arithmetic of the clocks.
    constexpr Microseconds longestWait = std::chrono::hours(1);
    std::unique_lock lock(m_mutex);
    while (!m_isEnding) {
        const Deadline next = m_isDue ? deadline.earlier(earliest) : deadline;
        const Microseconds left = next.remaining(m_clock.now());
        if (left == Microseconds::zero()) {
            break;
        }
        m_changed.wait_for(lock, std::min(left, longestWait));
    }
    m_isDue = false;
    return m_isEnding;
}

} // namespace Sapphire
