#include <LibPeer/DatagramPacer.h>

#include <LibCore/BootClock.h>

#include <doctest/doctest.h>

#include <memory>

using namespace Sapphire;

namespace {

const Poco::Net::SocketAddress receiver("127.0.0.1", 7600);
const std::string datagram(6'000, 'x');

struct Fixture
{
    BootClock clock;
    std::unique_ptr<EventLoop> loop { std::move(capture([this] {
                                                    return EventLoop::create(clock);
                                                }).value()) };
    std::size_t sentBytes { 0 };
    DatagramPacer pacer { *loop, BytesPerSecond(600'000), [this](const auto &, const std::string &bytes) {
                             sentBytes += bytes.size();
                         } };
};

} // namespace

TEST_CASE("Large datagrams leave no faster than the rate, and all of them leave")
{
    // Guards against copies that a small link drops since more than it can queue is sent at once.
    Fixture fixture;
    constexpr std::size_t count = 40;
    constexpr std::size_t bytesAtOnce = 24'000;
    const TimePoint begin = fixture.clock.now();
    for (std::size_t i = 0; i < count; ++i) {
        fixture.pacer.send(receiver, datagram);
    }
    const Deadline end = Deadline::after(begin, Milliseconds(3'000));
    while (fixture.sentBytes < count * datagram.size() && !end.hasPassed(fixture.clock.now())) {
        const auto elapsed = std::chrono::duration<double>(fixture.clock.now() - begin).count();
        CHECK(static_cast<double>(fixture.sentBytes) <= bytesAtOnce + 600'000 * elapsed);
        fixture.loop->runOnce(Deadline::after(fixture.clock.now(), Milliseconds(5)));
    }
    CHECK(fixture.sentBytes == count * datagram.size());
    CHECK(fixture.pacer.droppedDatagrams() == 0);
}

TEST_CASE("The datagrams that wait for a slow link are bounded")
{
    // Guards against a VM that runs out of memory because its link takes less than is to be sent.
    Fixture fixture;
    for (int i = 0; i < 1'000; ++i) {
        fixture.pacer.send(receiver, datagram);
    }
    CHECK(fixture.pacer.droppedDatagrams() >= 800);
}
