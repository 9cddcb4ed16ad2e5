#include <Harness/WaitFor.h>

#include <LibCore/BootClock.h>

#include <thread>

namespace Sapphire {

namespace {

constexpr Milliseconds checkInterval { 5 };

}

bool waitFor(const std::function<bool()> &condition, Deadline deadline)
{
    const BootClock clock;
    for (;;) {
        // Read before the condition, so that the condition is checked once after the deadline.
        const bool isLast = deadline.hasPassed(clock.now());
        if (condition()) {
            return true;
        }
        if (isLast) {
            return false;
        }
        std::this_thread::sleep_for(checkInterval);
    }
}

Deadline after(Microseconds interval)
{
    return Deadline::after(BootClock().now(), interval);
}

} // namespace Sapphire
