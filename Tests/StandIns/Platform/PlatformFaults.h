#pragma once

#include <LibCore/Deadline.h>

#include <functional>
#include <mutex>
#include <optional>
#include <string_view>

namespace Sapphire {

enum class OutageMode {
    None,
    Refuse, ///< Every request is answered with 503.
    Silent, ///< Requests are accepted and never answered.
};

std::string_view nameOf(OutageMode mode);
/// Returns nothing for a text that is no mode.
std::optional<OutageMode> outageModeFromText(std::string_view text);

/// The faults that a test has switched on. Safe to share between threads.
class PlatformFaults
{
public:
    void setLatency(Microseconds latency);
    void setOutage(OutageMode mode);
    /// The answers of the next writes are lost after they took effect.
    void setLostAnswers(int count);
    /// Ends all waits, for the end of the process.
    void stop();

    /// Waits for the latency, then in a silent outage until it ends, the stand-in stops or the client has gone, which
    /// the function tells. Returns the mode that the request meets.
    OutageMode admit(const std::function<bool()> &isClientGone);
    /// Returns whether the answer of the write that just took effect is to be lost.
    bool takeLostAnswer();

private:
    OutageMode mode() const;
    Microseconds latency() const;

    mutable std::mutex m_mutex;
    Microseconds m_latency { 0 };
    OutageMode m_mode { OutageMode::None };
    int m_lostAnswers { 0 };
};

} // namespace Sapphire
