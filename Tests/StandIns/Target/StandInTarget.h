#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <StandIns/Target/StandInSettings.h>

#include <map>
#include <optional>
#include <string>

namespace Sapphire {

/// Faults of one target that a test switches on through the control port.
struct StandInFaults
{
    std::string health { "ok" }; ///< "ok", "draining", "failing", "error" (500) or "silent".
    bool isFrozen { false }; ///< /health and /load keep the answers of the moment when this was set.
    std::string frozenHealth {};
    std::string frozenLoad {};
    std::optional<int> claimedInFlight {}; ///< Reported by /load in place of the true value; claimedSlots likewise.
    std::optional<int> claimedSlots {};
    bool shedsAll { false };
    std::string crashText {}; ///< A request whose path contains it crashes the target.
    Microseconds restartAfter {}; ///< After such a crash; 0 for never.
    int answersToCut { 0 };
    bool cutsByReset { false };
    Microseconds answerDelay {}; ///< From the end of the work, which frees the slot, to the answer.
};

/// The state of one simulated target.
class StandInTarget
{
public:
    StandInTarget(StandInTargetSettings settings, TimePoint now);

    const StandInTargetSettings &settings() const
    {
        return m_settings;
    }
    StandInFaults &faults()
    {
        return m_faults;
    }
    /// Applies the control parameters that concern the target's state. Fails with InvalidArgument.
    [[nodiscard]] Result<void> apply(const std::map<std::string, std::string> &parameters);

    bool hasFreeSlot() const
    {
        return !m_faults.shedsAll && m_inFlight < m_settings.slots;
    }
    void takeSlot(TimePoint now);
    void freeSlot(TimePoint now);
    void noteShed()
    {
        ++m_shed;
    }
    void noteStarted(TimePoint now);
    /// Returns how long a request without the parameter `sleep` takes.
    Microseconds serviceTime(TimePoint now) const;

    std::string healthJson() const;
    std::string loadJson() const;
    std::string countersJson(std::size_t connections) const;
    void noteAccepted()
    {
        ++m_accepted;
    }
    void noteCancelled()
    {
        ++m_cancelled;
    }
    void noteFinished()
    {
        ++m_finished;
    }
    void clearCounters();

private:
    StandInTargetSettings m_settings;
    StandInFaults m_faults;
    TimePoint m_coldSince;
    TimePoint m_lastActivity;
    int m_inFlight { 0 };
    int m_mostInFlight { 0 };
    std::uint64_t m_accepted { 0 };
    std::uint64_t m_ran { 0 };
    std::uint64_t m_finished { 0 };
    std::uint64_t m_cancelled { 0 };
    std::uint64_t m_shed { 0 };
};

} // namespace Sapphire
