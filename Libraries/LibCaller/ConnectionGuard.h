#pragma once

#include <LibCore/Clock.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace Sapphire {

/// Shuts down connections of callers whose deadline has passed: those that send a request head or body too slowly,
/// and those that are idle for too long. POCO's own timeouts only bound the wait for each single read.
class ConnectionGuard
{
public:
    explicit ConnectionGuard(const Clock &clock);
    ~ConnectionGuard();

    /// Registers a connection with the guard for the lifetime of this object.
    class Watch
    {
    public:
        Watch(ConnectionGuard &guard, int socket, Deadline deadline);
        ~Watch();
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

        void setDeadline(Deadline deadline);

    private:
        ConnectionGuard &m_guard;
        std::uint64_t m_key;
    };

    std::size_t connectionCount() const;
    /// Shuts down all connections, for the end of the process.
    void shutDownAll();

private:
    struct Entry
    {
        /// A duplicate of the descriptor, so that the number can't be reused for another connection.
        int descriptor { -1 };
        Deadline deadline;
    };

    void reap();

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_nextKey { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace Sapphire
