#include <LibDaemon/PeriodicThread.h>

#include <LibDaemon/DaemonEvents.h>

#include <pthread.h>

namespace Sapphire {

namespace {

// The longest name that Linux allows for a thread.
constexpr std::size_t maxThreadNameLength = 15;

} // namespace

PeriodicThread::PeriodicThread(std::string name, Milliseconds interval, std::function<void()> task)
    : m_name(std::move(name)), m_interval(interval), m_task(std::move(task)), m_thread(&PeriodicThread::run, this)
{
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, maxThreadNameLength).c_str());
}

PeriodicThread::~PeriodicThread()
{
    stop();
}

void PeriodicThread::stop()
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

void PeriodicThread::runSoon()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isDue = true;
    }
    m_changed.notify_all();
}

void PeriodicThread::run()
{
    while (true) {
        const auto next = std::chrono::steady_clock::now() + m_interval;
        try {
            m_task();
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
