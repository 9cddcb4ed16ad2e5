#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// Source of time for code that is not given the time as an argument.
class Clock
{
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
    /// Returns microseconds since 1970-01-01 UTC, for records that people read; never compared between machines.
    virtual Microseconds wallTime() const = 0;
};

} // namespace Sapphire
