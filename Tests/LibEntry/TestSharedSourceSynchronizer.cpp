#include <LibEntry/EntryEvents.h>
#include <LibEntry/SynchronizerFixture.h>

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

using namespace Sapphire;

namespace {

constexpr Milliseconds shortWait { 20 };

/// Blocks the thread of a synchronizer at one point until the test lets it continue.
class Gate
{
public:
    void close()
    {
        m_isClosed = true;
    }
    /// Called by the synchronizer's thread.
    void pass()
    {
        if (m_isClosed.exchange(false)) {
            m_isReached = true;
            m_opened.get_future().wait();
        }
    }
    bool isReached() const
    {
        return m_isReached;
    }
    void open()
    {
        m_opened.set_value();
    }

private:
    std::promise<void> m_opened;
    std::atomic<bool> m_isClosed { false };
    std::atomic<bool> m_isReached { false };
};

/// Counts the reads whose end reached the loop.
class CountingSynchronizer final : public SharedSourceSynchronizer
{
public:
    using SharedSourceSynchronizer::SharedSourceSynchronizer;

    int reads() const
    {
        return m_reads;
    }
    /// Lets reads fail from now on.
    void setFailing(bool isFailing)
    {
        m_isFailing = isFailing;
    }

    Gate updateGate; ///< Before another VM's update is processed.
    Gate readGate; ///< In a read.

private:
    Result<Task> read(bool) override
    {
        readGate.pass();
        if (m_isFailing) {
            return fail(ErrorCode::Unavailable, "the test lets reads fail");
        }
        return Task([this, readAt = loop().clock().now()] {
            ++m_reads;
            finishRead({ { SourceKind::Rules, 1, readAt, {}, {} } });
        });
    }
    void readFailed() override
    {
        ++m_reads;
    }
    void applyUpdate(const SourceUpdate &update) override
    {
        {
            const std::lock_guard guard(m_mutex);
            m_pendingUpdate = update;
        }
        wake();
    }
    std::optional<Task> processPendingUpdate() override
    {
        std::optional<SourceUpdate> pending;
        {
            const std::lock_guard guard(m_mutex);
            pending = std::exchange(m_pendingUpdate, std::nullopt);
        }
        if (!pending) {
            return std::nullopt;
        }
        updateGate.pass();
        return Task([this, update = *pending] {
            finishUpdate(update);
        });
    }

    std::mutex m_mutex;
    std::optional<SourceUpdate> m_pendingUpdate;
    std::atomic<bool> m_isFailing { false };
    int m_reads { 0 };
};

/// A counting synchronizer of the VM that reads for its region.
struct Fixture : SynchronizerFixture
{
    Fixture()
    {
        ReadScheduleSettings settings;
        settings.readerInterval = shortWait;
        settings.retryInterval = shortWait;
        synchronizer = std::make_unique<CountingSynchronizer>(context(), SourceKind::Rules, settings);
        synchronizer->start({ EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack });
    }
    ~Fixture()
    {
        synchronizer->stop();
    }

    SourceUpdate updateWith(std::uint64_t digest) const
    {
        return { SourceKind::Rules, digest, clock.now(), {}, "document" };
    }

    std::unique_ptr<CountingSynchronizer> synchronizer;
};

} // namespace

TEST_CASE("A read that is due while another VM's update arrives is made")
{
    // Guards against a VM that never reads the rules again: its read counted as running, while the step that should
    // have made it processed another VM's update instead.
    Fixture fixture;
    CountingSynchronizer &synchronizer = *fixture.synchronizer;
    REQUIRE(fixture.runUntil([&] {
        return synchronizer.reads() > 0;
    }));
    synchronizer.updateGate.close();
    synchronizer.takeUpdate(fixture.updateWith(2));
    REQUIRE(fixture.runUntil([&] {
        return synchronizer.updateGate.isReached();
    }));
    // A read becomes due, and another update arrives, before the synchronizer's thread continues.
    fixture.runFor(5 * shortWait);
    synchronizer.takeUpdate(fixture.updateWith(3));
    const int before = synchronizer.reads();
    synchronizer.updateGate.open();
    CHECK(fixture.runUntil([&] {
        return synchronizer.reads() > before + 1;
    }));
}

TEST_CASE("A read whose end can't be posted to the loop is followed by another one")
{
    // Guards against a VM that never reads again after its loop was overloaded at the end of a read.
    for (const bool isFailing : { false, true }) {
        CAPTURE(isFailing);
        Fixture fixture;
        CountingSynchronizer &synchronizer = *fixture.synchronizer;
        synchronizer.setFailing(isFailing);
        synchronizer.readGate.close();
        REQUIRE(fixture.runUntil([&] {
            return synchronizer.readGate.isReached();
        }));
        const int before = synchronizer.reads();
        // The loop doesn't run from here on, so that its queue stays full until the end of the read was refused.
        while (fixture.loop->post([] {})) {
        }
        synchronizer.readGate.open();
        const Deadline deadline = Deadline::after(fixture.clock.now(), Milliseconds(5'000));
        while (synchronizer.reads() == before && !deadline.hasPassed(fixture.clock.now())) {
            synchronizer.check();
            std::this_thread::sleep_for(Milliseconds(1));
        }
        REQUIRE(synchronizer.reads() == before + 1);
        CHECK(fixture.runUntil([&] {
            return synchronizer.reads() > before + 1;
        }));
    }
}
