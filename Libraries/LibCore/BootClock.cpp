#include <LibCore/BootClock.h>

#include <ctime>

namespace Sapphire {

namespace {

Microseconds read(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec)
        + std::chrono::duration_cast<Microseconds>(std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

TimePoint BootClock::now() const
{
    return TimePoint(read(CLOCK_BOOTTIME));
}

Microseconds BootClock::wallTime() const
{
    return read(CLOCK_REALTIME);
}

} // namespace Sapphire
