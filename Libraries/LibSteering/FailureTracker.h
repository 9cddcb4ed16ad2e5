#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Decides from the outcomes of a target's requests and health checks whether it gets work. Several failures in a row
/// eject it. Health checks, one at a time, then show whether it may be tried again. Since a target may pass its health
/// check and still fail or ignore requests, a passed check only starts a trial with one request at a time, which ends
/// when a request is answered.
class FailureTracker
{
public:
    /// A request was answered.
    void noteAnswered();
    /// A health check was passed.
    void noteCheckPassed();
    /// Returns whether the failure ejects the target.
    bool noteFailure(TimePoint now);
    /// Ejects the target at once, since it accepts no connections.
    void noteUnreachable(TimePoint now);

    /// Whether the target gets no work.
    bool isEjected() const
    {
        return m_isEjected;
    }
    /// Whether the target gets a request only while it runs none, since it has answered none since its ejection.
    bool isOnTrial() const
    {
        return m_isOnTrial;
    }
    /// When the target may be checked next; meaningful while it is ejected.
    Deadline nextCheckAt() const
    {
        return m_nextCheckAt;
    }

private:
    void eject(TimePoint now);

    int m_failuresInRow { 0 };
    int m_ejections { 0 }; ///< Since its last answer; each doubles the delay of the next check.
    bool m_isEjected { false };
    bool m_isOnTrial { false };
    Deadline m_nextCheckAt;
};

} // namespace Sapphire
