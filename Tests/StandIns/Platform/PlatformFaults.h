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
/// Returns nothing for an unknown mode.
std::optional<OutageMode> outageModeFromText(std::string_view text);

/// The faults that a test has switched on. Safe to share between threads.
class PlatformFaults
{
public:
    void setLatency(Microseconds latency);
    void setOutage(OutageMode mode);
    /// Drops the answers of the next `count` writes, which still take effect.
    void setLostAnswers(int count);
    /// Ends all waits, so that the server can stop.
    void stop();

    /// Waits for the latency; in a silent outage, then also until the outage ends, the stand-in stops or isClientGone()
    /// returns true. Returns the outage mode that applies to the request.
    OutageMode admit(const std::function<bool()> &isClientGone);
    /// Returns whether the answer of the write that just took effect is to be dropped, and counts it as lost.
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
