#include <StandIns/Platform/PlatformFaults.h>

#include <LibCore/BootClock.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace Sapphire {

namespace {

// How often a wait checks whether the outage has ended, the client has gone or the stand-in stops.
constexpr Milliseconds checkInterval { 20 };

constexpr std::array<std::pair<OutageMode, std::string_view>, 3> modeNames { {
    { OutageMode::None, "none" },
    { OutageMode::Refuse, "refuse" },
    { OutageMode::Silent, "silent" },
} };

} // namespace

std::string_view nameOf(OutageMode mode)
{
    return modeNames.at(static_cast<std::size_t>(mode)).second;
}

std::optional<OutageMode> outageModeFromText(std::string_view text)
{
    for (const auto &[mode, name] : modeNames) {
        if (name == text) {
            return mode;
        }
    }
    return std::nullopt;
}

void PlatformFaults::setLatency(Microseconds latency)
{
    const std::lock_guard guard(m_mutex);
    m_latency = latency;
}

void PlatformFaults::setOutage(OutageMode mode)
{
    const std::lock_guard guard(m_mutex);
    m_mode = mode;
}

void PlatformFaults::setLostAnswers(int count)
{
    const std::lock_guard guard(m_mutex);
    m_lostAnswers = count;
}

void PlatformFaults::stop()
{
    const std::lock_guard guard(m_mutex);
    m_mode = OutageMode::Refuse;
    m_latency = Microseconds::zero();
}

OutageMode PlatformFaults::admit(const std::function<bool()> &isClientGone)
{
    const BootClock clock;
    const TimePoint arrival = clock.now();
    for (;;) {
        // The latency is read again each time, so that a shorter one also holds for requests that wait already.
        const Microseconds left = Deadline::after(arrival, latency()).remaining(clock.now());
        if (left == Microseconds::zero()) {
            break;
        }
        std::this_thread::sleep_for(std::min<Microseconds>(left, checkInterval));
    }
    const OutageMode met = mode();
    if (met != OutageMode::Silent) {
        return met;
    }
    while (mode() == OutageMode::Silent && !isClientGone()) {
        std::this_thread::sleep_for(checkInterval);
    }
    return OutageMode::Silent;
}

bool PlatformFaults::takeLostAnswer()
{
    const std::lock_guard guard(m_mutex);
    if (m_lostAnswers == 0) {
        return false;
    }
    --m_lostAnswers;
    return true;
}

OutageMode PlatformFaults::mode() const
{
    const std::lock_guard guard(m_mutex);
    return m_mode;
}

Microseconds PlatformFaults::latency() const
{
    const std::lock_guard guard(m_mutex);
    return m_latency;
}

} // namespace Sapphire
