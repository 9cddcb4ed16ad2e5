#pragma once

#include <LibCore/Deadline.h>

#include <atomic>

namespace Sapphire {

/// Whether this VM takes new requests, and how many it is running.
class ServingState
{
public:
    enum class Phase {
        Serving,
        Leaving, ///< Out of the look-ups; callers that still come are served, and their connections closed.
        Refusing, ///< New requests are refused as not run.
    };

    /// Counts a request as running while it lives.
    class Running
    {
    public:
        explicit Running(ServingState &state) : m_state(state)
        {
            ++m_state.m_running;
        }
        ~Running()
        {
            --m_state.m_running;
        }
        Running(const Running &) = delete;
        Running &operator=(const Running &) = delete;

    private:
        ServingState &m_state;
    };

    Phase phase() const
    {
        return m_phase;
    }
    void setPhase(Phase phase)
    {
        m_phase = phase;
    }
    int runningCount() const
    {
        return m_running;
    }

private:
    std::atomic<Phase> m_phase { Phase::Serving };
    std::atomic<int> m_running { 0 };
};

} // namespace Sapphire
