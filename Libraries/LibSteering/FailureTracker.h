#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Decides from the outcomes of a target's requests whether it gets work. After failures in a row it is out, and one
/// health check at a time shows whether it may be tried again. Answers the load of targets that pass their health check
/// and fail or ignore requests: a passed check allows one request at a time, and only an answered one ends the trial.
class FailureTracker
{
public:
    /// A request was answered.
    void noteAnswered();
    /// A health check was passed.
    void noteCheckPassed();
    /// Returns whether the failure takes the target out.
    bool noteFailure(TimePoint now);
    /// Takes the target out at once, since it accepts no connections.
    void noteUnreachable(TimePoint now);

    /// Whether the target gets no work.
    bool isEjected() const
    {
        return m_isOut;
    }
    /// Whether the target gets a next request only when it has none, since no request was answered after it was out.
    bool isOnTrial() const
    {
        return m_isOnTrial;
    }
    /// When the target may be checked next; meaningful while it is out.
    Deadline nextCheckAt() const
    {
        return m_outUntil;
    }

private:
    void takeOut(TimePoint now);

    int m_failuresInRow { 0 };
    int m_timesOut { 0 }; ///< Since it last worked; each doubles the time out.
    bool m_isOut { false };
    bool m_isOnTrial { false };
    Deadline m_outUntil;
};

} // namespace Sapphire
