#pragma once

#include <LibCore/Deadline.h>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Sapphire {

/// A thread-safe FIFO queue of fixed capacity. Any number of threads may push and pop.
template<typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : m_slots(capacity)
    {
    }

    /// Returns false and leaves the item unmoved if the ring is full or closed.
    [[nodiscard]] bool tryPush(T &&item)
    {
        {
            const std::lock_guard guard(m_mutex);
            if (m_isClosed || m_count == m_slots.size()) {
                return false;
            }
            m_slots[(m_first + m_count) % m_slots.size()] = std::move(item);
            ++m_count;
        }
        m_notEmpty.notify_one();
        return true;
    }

    /// Removes the oldest item. Waits for one until the ring is closed or the time has passed, then returns nothing.
    std::optional<T> pop(Microseconds longestWait)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, longestWait, [this] {
            return m_count > 0 || m_isClosed;
        });
        if (m_count == 0) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_slots[m_first]));
        m_first = (m_first + 1) % m_slots.size();
        --m_count;
        return item;
    }

    /// Rejects further items; those already queued can still be popped.
    void close()
    {
        {
            const std::lock_guard guard(m_mutex);
            m_isClosed = true;
        }
        m_notEmpty.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard guard(m_mutex);
        return m_isClosed;
    }

    std::size_t count() const
    {
        const std::lock_guard guard(m_mutex);
        return m_count;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::vector<T> m_slots;
    std::size_t m_first { 0 };
    std::size_t m_count { 0 };
    bool m_isClosed { false };
};

} // namespace Sapphire
