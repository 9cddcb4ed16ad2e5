#pragma once

#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// Decides which crash suspects this VM tells the others, and when. Answers many targets that die at once, each with
/// requests that are suspects: the first one is told at once, later ones together, and each a few times, since
/// datagrams get lost.
class CrashSuspectGossip
{
public:
    /// Takes a suspect that is new or worse than before.
    void add(const CrashSuspect &suspect);
    /// When the next message is due; never if there is nothing new.
    Deadline nextAt() const;
    /// Returns what is new for a message that is sent now.
    std::vector<CrashSuspect> takeNew(TimePoint now);
    /// Returns what was told before and is to be repeated.
    std::vector<CrashSuspect> takeRepeats();

private:
    struct Sent
    {
        CrashSuspect suspect;
        int repeats { 0 }; ///< That are left.
    };

    std::vector<CrashSuspect> m_new;
    std::vector<Sent> m_sent;
    Deadline m_quietUntil;
};

} // namespace Sapphire
