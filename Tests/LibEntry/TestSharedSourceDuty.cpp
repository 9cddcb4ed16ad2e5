#include <LibEntry/DutyFixture.h>
#include <LibEntry/EntryEvents.h>

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

using namespace Sapphire;

namespace {

constexpr Milliseconds shortWait { 20 };

/// Holds the thread of a duty at one point until the test lets it go on.
class Gate
{
public:
    void close()
    {
        m_isClosed = true;
    }
    /// Called by the duty's thread.
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

/// Counts readings whose end the loop has heard of.
class CountingDuty final : public SharedSourceDuty
{
public:
    using SharedSourceDuty::SharedSourceDuty;

    int readings() const
    {
        return m_readings;
    }
    /// Lets readings fail from now on.
    void setFailing(bool isFailing)
    {
        m_isFailing = isFailing;
    }

    Gate newsGate; ///< Before another VM's news are taken.
    Gate readingGate; ///< In a reading. After it, the loop takes no task until it runs again.

private:
    Result<Task> read(bool) override
    {
        readingGate.pass();
        if (readingGate.isReached() && !std::exchange(m_hasFilledLoop, true)) {
            while (loop().post([] {})) {
            }
        }
        if (m_isFailing) {
            return fail(ErrorCode::Unavailable, "the test lets readings fail");
        }
        return Task([this, readAt = loop().clock().now()] {
            ++m_readings;
            finishRead({ { SourceKind::Rules, 1, readAt, {}, {} } });
        });
    }
    void readFailed() override
    {
        ++m_readings;
    }
    void applyReading(const SourceUpdate &reading) override
    {
        {
            const std::lock_guard guard(m_mutex);
            m_told = reading;
        }
        wake();
    }
    std::optional<Task> takeTold() override
    {
        std::optional<SourceUpdate> told;
        {
            const std::lock_guard guard(m_mutex);
            told = std::exchange(m_told, std::nullopt);
        }
        if (!told) {
            return std::nullopt;
        }
        newsGate.pass();
        return Task([this, reading = *told] {
            finishTold(reading);
        });
    }

    std::mutex m_mutex;
    std::optional<SourceUpdate> m_told;
    std::atomic<bool> m_isFailing { false };
    bool m_hasFilledLoop { false }; ///< Of the duty's thread.
    int m_readings { 0 };
};

/// A counting duty of the VM that reads for its region.
struct Fixture : DutyFixture
{
    Fixture()
    {
        SharedReadingSettings settings;
        settings.readerInterval = shortWait;
        settings.retryInterval = shortWait;
        duty = std::make_unique<CountingDuty>(parts(), SourceKind::Rules, settings);
        duty->start({ EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack });
    }
    ~Fixture()
    {
        duty->stop();
    }

    SourceUpdate news(std::uint64_t digest) const
    {
        return { SourceKind::Rules, digest, clock.now(), {}, "document" };
    }

    std::unique_ptr<CountingDuty> duty;
};

} // namespace

TEST_CASE("A reading that is due while news of another VM arrive is made")
{
    // Guards against a VM that never reads the rules again: its reading counted as running, while the step that should
    // have made it took another VM's news instead.
    Fixture fixture;
    CountingDuty &duty = *fixture.duty;
    REQUIRE(fixture.runUntil([&] {
        return duty.readings() > 0;
    }));
    duty.newsGate.close();
    duty.takeReading(fixture.news(2));
    REQUIRE(fixture.runUntil([&] {
        return duty.newsGate.isReached();
    }));
    // A reading becomes due, and more news arrive, before the duty's thread goes on.
    fixture.runFor(5 * shortWait);
    duty.takeReading(fixture.news(3));
    const int before = duty.readings();
    duty.newsGate.open();
    CHECK(fixture.runUntil([&] {
        return duty.readings() > before + 1;
    }));
}

TEST_CASE("A reading whose end the loop can't be told is followed by another one")
{
    // Guards against a VM that never reads again after its loop was overloaded at the end of a reading.
    for (const bool isFailing : { false, true }) {
        CAPTURE(isFailing);
        Fixture fixture;
        CountingDuty &duty = *fixture.duty;
        duty.setFailing(isFailing);
        duty.readingGate.close();
        REQUIRE(fixture.runUntil([&] {
            return duty.readingGate.isReached();
        }));
        duty.readingGate.open();
        // The loop doesn't run meanwhile, so that its tasks stay.
        std::this_thread::sleep_for(5 * shortWait);
        CHECK(fixture.runUntil([&] {
            return duty.readings() > 0;
        }));
    }
}
