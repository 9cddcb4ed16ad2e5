#pragma once

#include <LibCore/Clock.h>

namespace Sapphire {

/// Reads CLOCK_BOOTTIME, which goes on while the machine is suspended.
class BootClock final : public Clock
{
public:
    TimePoint now() const override;
    Microseconds wallTime() const override;
};

} // namespace Sapphire
