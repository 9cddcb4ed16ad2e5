#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>

namespace Sapphire {

/// Returns the whole milliseconds from one time to another; negative if the end is before the begin.
constexpr std::int64_t millisecondsBetween(TimePoint begin, TimePoint end)
{
    return std::chrono::duration_cast<Milliseconds>(end - begin).count();
}

/// Returns the time multiplied by a factor, rounded towards zero.
constexpr Microseconds scaled(Microseconds time, double factor)
{
    return Microseconds(static_cast<Microseconds::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace Sapphire
