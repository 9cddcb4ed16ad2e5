#include <LibCaller/ConnectionGuard.h>

#include <sys/socket.h>
#include <unistd.h>

namespace Sapphire {

namespace {

constexpr Milliseconds reapInterval { 100 };

}

ConnectionGuard::ConnectionGuard(const Clock &clock) : m_clock(clock), m_thread(&ConnectionGuard::reap, this)
{
}

ConnectionGuard::~ConnectionGuard()
{
    m_isStopping = true;
    m_thread.join();
}

ConnectionGuard::Watch::Watch(ConnectionGuard &guard, int socket, Deadline deadline) : m_guard(guard)
{
    const std::lock_guard lock(guard.m_mutex);
    m_key = ++guard.m_nextKey;
    guard.m_entries[m_key] = { dup(socket), deadline };
}

ConnectionGuard::Watch::~Watch()
{
    const std::lock_guard lock(m_guard.m_mutex);
    const auto found = m_guard.m_entries.find(m_key);
    close(found->second.descriptor);
    m_guard.m_entries.erase(found);
}

void ConnectionGuard::Watch::setDeadline(Deadline deadline)
{
    const std::lock_guard lock(m_guard.m_mutex);
    m_guard.m_entries[m_key].deadline = deadline;
}

std::size_t ConnectionGuard::connectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

void ConnectionGuard::shutDownAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, entry] : m_entries) {
        shutdown(entry.descriptor, SHUT_RDWR);
    }
}

void ConnectionGuard::reap()
{
    while (!m_isStopping) {
        std::this_thread::sleep_for(reapInterval);
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        for (auto &[key, entry] : m_entries) {
            if (entry.deadline.hasPassed(now)) {
                shutdown(entry.descriptor, SHUT_RDWR);
                entry.deadline = Deadline::never();
            }
        }
    }
}

} // namespace Sapphire
