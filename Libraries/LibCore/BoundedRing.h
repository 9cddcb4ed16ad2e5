#pragma once

#include <LibCore/Deadline.h>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Sapphire {

/// A queue of fixed capacity that joins the threads of two duties. Any number of threads may use either end.
template<typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : m_slots(capacity)
    {
    }

    /// Returns false, and leaves the item with the caller, if the ring is full or closed.
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

    /// Waits until an item arrives, the ring is closed or the interval has passed.
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

    /// Refuses further items; those already queued can still be taken.
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
