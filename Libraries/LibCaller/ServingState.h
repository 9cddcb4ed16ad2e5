#pragma once

#include <LibCore/Deadline.h>

#include <atomic>

namespace Sapphire {

/// Holds whether this VM accepts new requests, and how many it is running. Safe to use from any thread.
class ServingState
{
public:
    enum class Phase {
        Serving,
        Leaving, ///< Look-ups no longer return this VM. Requests are still served, but connections closed afterwards.
        Refusing, ///< New requests are refused with the verdict not run.
    };

    /// Counts a request as running for the lifetime of this object.
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
