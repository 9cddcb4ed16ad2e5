#pragma once

#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// Decides which crash suspects this VM sends to the others, and when. Limits the traffic when many targets die at
/// once, each with suspect requests: the first suspect is sent at once and later ones are batched. Each is repeated a
/// few times, since datagrams get lost.
class CrashSuspectGossip
{
public:
    /// Adds a suspect that is new or has crashed more targets than before.
    void add(const CrashSuspect &suspect);
    /// When the next message with new suspects is due; never if there are none.
    Deadline nextAt() const;
    /// Returns the new suspects, for a message that is sent now.
    std::vector<CrashSuspect> takeNew(TimePoint now);
    /// Returns the suspects that were sent before and are due for a repeat.
    std::vector<CrashSuspect> takeRepeats();

private:
    struct Sent
    {
        CrashSuspect suspect;
        int repeats { 0 }; ///< Repeats that are left.
    };

    std::vector<CrashSuspect> m_new;
    std::vector<Sent> m_sent;
    Deadline m_quietUntil;
};

} // namespace Sapphire
