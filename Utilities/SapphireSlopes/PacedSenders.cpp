#include <SapphireSlopes/PacedSenders.h>

#include <LibCore/BootClock.h>

#include <atomic>
#include <thread>
#include <vector>

namespace Sapphire {

void PacedSenders::run(int total, const std::function<void(int)> &send) const
{
    const BootClock clock;
    const TimePoint begin = clock.now();
    std::atomic<int> next { 0 };
    const auto work = [&] {
        for (int i = next++; i < total; i = next++) {
            const auto offset = std::chrono::duration<double>(i / perSecond);
            const TimePoint due = begin + std::chrono::duration_cast<Microseconds>(offset);
            std::this_thread::sleep_for(Deadline(due).remaining(clock.now()));
            send(i);
        }
    };
    std::vector<std::thread> running;
    running.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i) {
        running.emplace_back(work);
    }
    for (std::thread &thread : running) {
        thread.join();
    }
}

} // namespace Sapphire
