#pragma once

#include <LibCore/BootClock.h>
#include <LibEntry/SharedSourceDuty.h>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace Sapphire {

/// Keeps what a duty tells the other VMs.
class RecordingPeers final : public ReadingPeers
{
public:
    void tellReading(const Reading &reading) override
    {
        m_readings.push_back(reading);
    }
    void tellRelays(const Reading &reading, std::string_view) override
    {
        m_relayed.push_back(reading);
    }
    void setReadable(ReadingSubject, bool) override
    {
    }
    void askForTargets(const VmId &vm, const ShortDigests &digests) override
    {
        m_questions.push_back({ vm, digests });
    }
    void sendTargets(const VmId &, const TargetStatement &statement) override
    {
        m_statements.push_back(statement);
    }

    struct Question
    {
        VmId vm;
        ShortDigests digests;
    };
    const std::vector<Reading> &readings() const
    {
        return m_readings;
    }
    /// Returns what other regions were told.
    const std::vector<Reading> &relayed() const
    {
        return m_relayed;
    }
    const std::vector<Question> &questions() const
    {
        return m_questions;
    }
    const std::vector<TargetStatement> &statements() const
    {
        return m_statements;
    }

private:
    std::vector<Reading> m_readings;
    std::vector<Reading> m_relayed;
    std::vector<Question> m_questions;
    std::vector<TargetStatement> m_statements;
};

/// What a duty of the only VM of a region works with, on the loop of the calling thread.
class DutyFixture
{
public:
    DutyFixture()
    {
        VmRecord record;
        record.vm = own;
        record.place = place;
        roster.applyRecords({ record }, clock.now());
    }

    SharedSourceParts parts()
    {
        return { *loop, peers, roster, own };
    }
    /// Runs the loop until the condition is met. Returns false if that takes longer than a test should wait.
    template<typename Condition>
    bool runUntil(Condition isMet)
    {
        constexpr Milliseconds step { 20 };
        constexpr Milliseconds longestWait { 5'000 };
        const Deadline deadline = Deadline::after(clock.now(), longestWait);
        while (!isMet() && !deadline.hasPassed(clock.now())) {
            loop->runOnce(Deadline::after(clock.now(), step));
        }
        return isMet();
    }
    void runFor(Milliseconds time)
    {
        const Deadline end = Deadline::after(clock.now(), time);
        while (!end.hasPassed(clock.now())) {
            loop->runOnce(end);
        }
    }

    BootClock clock;
    std::unique_ptr<EventLoop> loop { createLoop(clock) };
    VmId own { "cuyo-a-1" };
    Locality place { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
    VmRoster roster { own, place, {} };
    RecordingPeers peers;

private:
    static std::unique_ptr<EventLoop> createLoop(const Clock &clock)
    {
        Outcome<std::unique_ptr<EventLoop>> loop = capture([&] {
            return EventLoop::create(clock);
        });
        REQUIRE(loop);
        return std::move(loop.value());
    }
};

} // namespace Sapphire
