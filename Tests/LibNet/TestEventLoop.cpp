#include <LibCore/BootClock.h>
#include <LibNet/EventLoop.h>

#include <doctest/doctest.h>

#include <memory>
#include <thread>
#include <vector>

using namespace Sapphire;

namespace {

std::unique_ptr<EventLoop> createLoop(const Clock &clock)
{
    Outcome<std::unique_ptr<EventLoop>> loop = capture([&] {
        return EventLoop::create(clock);
    });
    REQUIRE(loop);
    return std::move(loop.value());
}

} // namespace

TEST_CASE("EventLoop calls timers in the order of their deadlines")
{
    // Guards against a timer that is lost when another one is moved or stopped.
    const BootClock clock;
    const std::unique_ptr<EventLoop> loop = createLoop(clock);
    std::vector<int> order;
    const TimePoint now = clock.now();
    Timer first(*loop, [&] {
        order.push_back(1);
    });
    Timer second(*loop, [&] {
        order.push_back(2);
        loop->stop();
    });
    Timer stopped(*loop, [&] {
        order.push_back(3);
    });
    second.start(Deadline::after(now, Milliseconds(5)));
    first.start(Deadline::after(now, Milliseconds(50)));
    first.start(Deadline::after(now, Milliseconds(1)));
    stopped.start(Deadline::after(now, Milliseconds(2)));
    stopped.stop();
    loop->run();
    CHECK(order == std::vector<int> { 1, 2 });
}

TEST_CASE("EventLoop lets a timer's callback destroy the timer")
{
    // Guards against use of a timer after its callback has destroyed its owner.
    const BootClock clock;
    const std::unique_ptr<EventLoop> loop = createLoop(clock);
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(*loop, [&] {
        timer.reset();
        loop->stop();
    });
    timer->start(Deadline(clock.now()));
    loop->run();
    CHECK(!timer);
}

TEST_CASE("EventLoop runs tasks of other threads while it waits for events")
{
    // Guards against updates from other threads that are delayed until the next event of a connection.
    const BootClock clock;
    const std::unique_ptr<EventLoop> loop = createLoop(clock);
    bool hasRun = false;
    std::thread other([&] {
        std::this_thread::sleep_for(Milliseconds(20));
        CHECK(loop->post([&] {
            hasRun = true;
            loop->stop();
        }));
    });
    loop->run();
    other.join();
    CHECK(hasRun);
}

TEST_CASE("EventLoop rejects tasks when its queue is full")
{
    // Guards against unbounded memory while the loop is stuck.
    const BootClock clock;
    const std::unique_ptr<EventLoop> loop = createLoop(clock);
    int accepted = 0;
    while (accepted < 100'000 && loop->post([] {})) {
        ++accepted;
    }
    CHECK(accepted >= 100);
    CHECK(accepted < 100'000);
}
