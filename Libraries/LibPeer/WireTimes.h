#pragma once

#include <LibCore/Duration.h>

#include <algorithm>

namespace Sapphire {

/// Returns the time between two points as messages carry it: in milliseconds, and 0 if the second one is not later.
inline std::uint32_t millisecondsUntil(TimePoint from, TimePoint to)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisecondsBetween(from, to)));
}

} // namespace Sapphire
