#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// What a target said of its load with an answer.
struct LoadReport
{
    int running { 0 };
    int waiting { 0 };
    int slots { 0 };
};

/// This VM's estimate of how many requests a target has: its own count, and that of the other VMs as far as answers
/// tell.
class TargetLoad
{
public:
    explicit TargetLoad(int slots) : m_slots(slots)
    {
    }

    void setSlots(int slots)
    {
        m_slots = slots;
    }
    int slots() const
    {
        return m_slots;
    }
    /// Requests of this VM that the target has.
    int inFlight() const
    {
        return m_inFlight;
    }

    void noteSent();
    void noteEnded();
    /// Takes the report of an answer, after noteEnded() for the request that was answered.
    void noteReport(const LoadReport &report, TimePoint now);
    /// The target has turned a request away because it is full.
    void noteShed(TimePoint now);

    /// Requests that the target is expected to have, running or waiting.
    double expected(TimePoint now) const;
    /// Whether the target turned a request away so recently that the next one would be, too.
    bool isShedding(TimePoint now) const
    {
        return !m_fullUntil.hasPassed(now);
    }

private:
    double others(TimePoint now) const;

    int m_slots;
    int m_inFlight { 0 };
    double m_others { 0 }; ///< Requests of other VMs at the last report.
    TimePoint m_reportedAt {};
    Deadline m_fullUntil;
    int m_shedsInRow { 0 };
};

} // namespace Sapphire
