#include <LibCore/Hash.h>
#include <LibEntry/EntryEvents.h>
#include <LibEntry/OperatorStateSynchronizer.h>
#include <LibEntry/SynchronizerFixture.h>

#include <atomic>
#include <thread>

using namespace Sapphire;

namespace {

/// A source that can't be reached. It takes over any document of another VM.
class UnreachableSource final : public OperatorStateSource
{
public:
    Result<OperatorState> next(Milliseconds, Deadline) override
    {
        ++reads;
        return fail(ErrorCode::Unavailable, "the platform refuses this VM");
    }
    Result<OperatorState> adopt(const std::string &) override
    {
        return OperatorState {};
    }

    std::atomic<int> reads { 0 };
};

/// A source whose answers come late, as to a VM that stands still meanwhile. Each one is a change.
class LateSource final : public OperatorStateSource
{
public:
    explicit LateSource(const Clock &clock) : m_clock(clock)
    {
    }
    Result<OperatorState> next(Milliseconds, Deadline) override
    {
        m_begins.push_back(m_clock.now());
        std::this_thread::sleep_for(Milliseconds(400));
        OperatorState state;
        state.revision = { SourceEpoch(), ++m_revision };
        return state;
    }
    Result<OperatorState> adopt(const std::string &) override
    {
        return OperatorState {};
    }
    /// When the first call began. To be called after the synchronizer has stopped.
    TimePoint firstBegin() const
    {
        return m_begins.front();
    }

private:
    const Clock &m_clock;
    std::uint64_t m_revision { 0 };
    std::vector<TimePoint> m_begins;
};

} // namespace

TEST_CASE("A state that changed counts as read when it was asked for")
{
    // Guards against rules that count as confirmed now although their answer waited while the VM stood still.
    SynchronizerFixture fixture;
    LateSource source(fixture.clock);
    OperatorStateSynchronizer synchronizer(fixture.context(), source, [](const OperatorState &) {});
    synchronizer.start({ EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack });
    REQUIRE(fixture.runUntil([&] {
        return !fixture.peers.updates().empty();
    }));
    synchronizer.stop();
    CHECK(fixture.peers.updates().front().readAt <= source.firstBegin());
}

TEST_CASE("A VM that got its first rules from another VM reads by itself once it hears nothing more")
{
    // Guards against a VM that keeps its first rules for good because the platform refused it when it started.
    SynchronizerFixture fixture;
    VmRecord other;
    other.locality = fixture.locality;
    for (int i = 0; fixture.roster.readerRank("rules", false, fixture.clock.now()) == 0; ++i) {
        VmRecord own;
        own.vm = fixture.own;
        own.locality = fixture.locality;
        other.vm = VmId("other-" + std::to_string(i));
        fixture.roster.applyRecords({ own, other }, fixture.clock.now());
    }
    UnreachableSource source;
    int states = 0;
    OperatorStateSynchronizer synchronizer(fixture.context(), source, [&](const OperatorState &) {
        ++states;
    });
    synchronizer.start({ EntryEvents::rulesSourceLost, EntryEvents::rulesSourceBack });
    REQUIRE(fixture.runUntil([&] {
        return source.reads > 0;
    }));
    // The digest of a state without rules, as the other VM computes it.
    const SourceUpdate update { SourceKind::Rules, stableHash("none"), fixture.clock.now(), {}, "document", other.vm };
    synchronizer.takeUpdate(update);
    REQUIRE(fixture.runUntil([&] {
        fixture.roster.noteHeartbeat(other.vm, other.startedAtMilliseconds, {}, fixture.clock.now());
        return states == 1;
    }));
    CHECK(!synchronizer.isIncomplete());
    CHECK(synchronizer.confirmedAt() == update.readAt);
    const int before = source.reads;
    // The other VM is alive, so that this one isn't the first in the order of readers, but its updates are lost.
    CHECK(fixture.runUntil([&] {
        fixture.roster.noteHeartbeat(other.vm, other.startedAtMilliseconds, {}, fixture.clock.now());
        return source.reads > before;
    }));
    synchronizer.stop();
}
