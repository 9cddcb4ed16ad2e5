#pragma once

#include <LibCore/Clock.h>

namespace Sapphire {

/// The system's clock. Based on CLOCK_BOOTTIME, which keeps counting while the machine is suspended.
class BootClock final : public Clock
{
public:
    TimePoint now() const override;
    Microseconds wallTime() const override;
};

} // namespace Sapphire
