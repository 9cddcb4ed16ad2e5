#pragma once

#include <LibSteering/RecentObjects.h>
#include <LibSteering/TargetLoad.h>
#include <SapphirePolicies/PolicyScenario.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace Sapphire {

/// A model of a target with slots, a queue and a cache of objects.
class PolicyTarget
{
public:
    explicit PolicyTarget(const PolicyScenario &scenario)
        : m_slots(scenario.slots), m_queue(scenario.queue), m_cache(scenario.cacheCapacity)
    {
    }

    enum class Arrival {
        Runs,
        Waits,
        Shed,
    };

    Arrival arrive(std::size_t request)
    {
        if (m_running < m_slots) {
            ++m_running;
            return Arrival::Runs;
        }
        if (static_cast<int>(m_waiting.size()) >= m_queue) {
            return Arrival::Shed;
        }
        m_waiting.push_back(request);
        return Arrival::Waits;
    }
    /// Frees a slot. Returns the waiting request that takes it, or nothing if none waits.
    std::optional<std::size_t> release()
    {
        if (m_waiting.empty()) {
            --m_running;
            return std::nullopt;
        }
        const std::size_t next = m_waiting.front();
        m_waiting.pop_front();
        return next;
    }
    /// Removes a request from the queue. Returns false if it is not in the queue.
    bool cancelWaiting(std::size_t request)
    {
        return std::erase(m_waiting, request) > 0;
    }

    bool isWarm(std::uint64_t object) const
    {
        return m_cache.lastHandled(object) != TimePoint {};
    }
    void noteHandled(std::uint64_t object, TimePoint now)
    {
        m_cache.note(object, now);
    }
    LoadReport report() const
    {
        return { m_running, static_cast<int>(m_waiting.size()), m_slots };
    }

private:
    int m_slots;
    int m_queue;
    int m_running { 0 };
    std::deque<std::size_t> m_waiting;
    RecentObjects m_cache;
};

} // namespace Sapphire
