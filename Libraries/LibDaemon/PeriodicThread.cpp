#include <LibDaemon/DutyThread.h>

#include <LibDaemon/DaemonEvents.h>

#include <pthread.h>

namespace Sapphire {

namespace {

// The kernel cuts thread names at this length.
constexpr std::size_t longestThreadName = 15;

} // namespace

DutyThread::DutyThread(std::string name, Milliseconds interval, std::function<void()> duty)
    : m_name(std::move(name)), m_interval(interval), m_duty(std::move(duty)), m_thread(&DutyThread::run, this)
{
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, longestThreadName).c_str());
}

DutyThread::~DutyThread()
{
    stop();
}

void DutyThread::stop()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DutyThread::runSoon()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isDue = true;
    }
    m_changed.notify_all();
}

void DutyThread::run()
{
    while (true) {
        const auto next = std::chrono::steady_clock::now() + m_interval;
        try {
            m_duty();
        } catch (const std::exception &exception) {
            logEvent(DaemonEvents::dutyFailed, { { "duty", m_name }, { "what", exception.what() } });
        }
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, next, [this] {
            return m_isStopping || m_isDue;
        });
        m_isDue = false;
        if (m_isStopping) {
            return;
        }
    }
}

} // namespace Sapphire
