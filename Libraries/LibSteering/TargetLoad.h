#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// The load that a target reported with an answer.
struct LoadReport
{
    int running { 0 };
    int waiting { 0 };
    int slots { 0 };
};

/// Estimates how many requests a target has: this VM's own requests, and those of other VMs as derived from the load
/// that the target reports with its answers.
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
    /// Returns this VM's requests at the target.
    int inFlight() const
    {
        return m_inFlight;
    }

    void noteSent();
    void noteEnded();
    /// Takes the load reported with an answer. To be called after noteEnded() for the request that was answered.
    void noteReport(const LoadReport &report, TimePoint now);
    /// The target has rejected a request because it is full.
    void noteShed(TimePoint now);

    /// Returns the expected number of requests at the target, running or waiting.
    double expected(TimePoint now) const;
    /// Returns whether the target rejected a request so recently that it would probably reject the next one, too.
    bool isShedding(TimePoint now) const
    {
        return !m_fullUntil.hasPassed(now);
    }

private:
    double others(TimePoint now) const;

    int m_slots;
    int m_inFlight { 0 };
    double m_others { 0 }; ///< Requests of other VMs at the time of the last report.
    TimePoint m_reportedAt {};
    Deadline m_fullUntil;
    int m_shedsInRow { 0 };
};

} // namespace Sapphire
