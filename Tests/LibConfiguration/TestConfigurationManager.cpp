#include "TestFleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Sapphire;

namespace {

const CustomerId bodega("bodega-7");

/// A fleet in which all VMs have the initial configuration.
struct RunningFleet : TestFleet
{
    RunningFleet()
    {
        REQUIRE((*this)[0].submit(Commands::initialBatch()));
        advance(2);
    }
    double rateAt(std::size_t index)
    {
        return (*this)[index].manager->configuration()->customers.at(bodega).ratePerSecond;
    }
};

} // namespace

TEST_CASE("a command spreads to all VMs and is reported as in force after the wait")
{
    // Guards against changes that some VM never applies, and against changes reported as in force too early.
    RunningFleet fleet;
    const Outcome<Receipt> receipt = fleet[1].submit(Commands::customer("c", 9));
    REQUIRE(receipt);
    CHECK(receipt.value().version == ConfigurationVersion(2));
    CHECK(receipt.value().state == ReceiptState::Recorded);
    CHECK(receipt.value().unconfirmed.size() == 2);
    fleet.advance(3);
    CHECK(fleet.rateAt(0) == 9);
    CHECK(fleet.rateAt(2) == 9);
    CHECK_FALSE(fleet[1].manager->inForceStatus(ConfigurationVersion(2), fleet.clock.now()).isInForce);
    fleet.advance(5);
    const Receipt later = fleet[1].manager->awaitInForce(ConfigurationVersion(2), Deadline(fleet.clock.now()));
    CHECK(later.state == ReceiptState::InForce);
    CHECK(later.unconfirmed.empty());
}

TEST_CASE("an answer that is lost after the write leads to one change")
{
    // Guards against a command that took effect but is reported as failed, or that is applied twice.
    RunningFleet fleet;
    fleet.tables.loseAnswers(1);
    const Outcome<Receipt> receipt = fleet[0].submit(Commands::customer("c", 9));
    REQUIRE(receipt);
    CHECK(receipt.value().version == ConfigurationVersion(2));

    fleet.tables.loseAnswers(1);
    fleet[0].path.cutAfterLostAnswer = true;
    const Outcome<Receipt> unknown = fleet[0].submit(Commands::customer("d", 7));
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::Unavailable);
    CHECK(unknown.error().verdict == Verdict::MayHaveRun);
    // The operator sends it again through another VM.
    const Outcome<Receipt> again = fleet[1].submit(Commands::customer("d", 7));
    REQUIRE(again);
    CHECK(again.value().version == ConfigurationVersion(3));
    CHECK(fleet.tables.writeCount() == 3);
}

TEST_CASE("a command id sent through two VMs takes effect once")
{
    // Guards against a resent command that undoes a change made in between.
    RunningFleet fleet;
    REQUIRE(fleet[0].submit(Commands::customer("c", 9)));
    REQUIRE(fleet[0].submit(Commands::customer("d", 7)));
    const Outcome<Receipt> again = fleet[2].submit(Commands::customer("c", 9));
    REQUIRE(again);
    CHECK(again.value().version == ConfigurationVersion(2));
    CHECK(fleet.rateAt(2) == 7);

    // Both at the same time: the second VM has read the log before the first one writes.
    fleet[1].path.beforeInsertion = [&fleet] {
        CHECK(fleet[0].submit(Commands::customer("e", 6)));
    };
    const Outcome<Receipt> twin = fleet[1].submit(Commands::customer("e", 6));
    REQUIRE(twin);
    CHECK(twin.value().version == ConfigurationVersion(4));
    CHECK(fleet.tables.writeCount() == 4);
}

TEST_CASE("the later of two concurrent commands for one object is rejected with the name of the other operator")
{
    // Guards against a command, based on an older version, that silently overwrites a change.
    RunningFleet fleet;
    Command late = Commands::make("d", SetCustomer { bodega, 7, 20 }, "ben");
    late.seen = ConfigurationVersion(1);
    fleet[1].path.beforeInsertion = [&fleet] {
        CHECK(fleet[0].submit(Commands::customer("c", 9)));
    };
    const Outcome<Receipt> lost = fleet[1].submit(late);
    REQUIRE_FALSE(lost);
    CHECK(lost.error().code == ErrorCode::Conflict);
    CHECK(lost.error().message == "customer bodega-7 was changed by ana in version 2");
    // Concurrent changes of different objects both take effect.
    Command other = Commands::make("e", DrainTarget { TargetId("booking-1") }, "ben");
    other.seen = ConfigurationVersion(1);
    fleet[1].path.beforeInsertion = [&fleet] {
        CHECK(fleet[0].submit(Commands::customer("f", 8)));
    };
    REQUIRE(fleet[1].submit(other));
    CHECK(fleet.rateAt(1) == 8);
    CHECK(fleet[1].manager->configuration()->targets.at(TargetId("booking-1")).isDrained);
}

TEST_CASE("in an outage only withdrawals are accepted, once two other VMs know them")
{
    // Guards against a withdrawn key that keeps working, and against a withdrawal lost with the VM that accepted it.
    RunningFleet fleet;
    fleet.cutStore(true);
    const Outcome<Receipt> refused = fleet[0].submit(Commands::customer("c", 9));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::Unavailable);
    CHECK(refused.error().verdict == Verdict::NotRun);

    const Outcome<Receipt> accepted = fleet[0].submit(Commands::withdrawal("w", "k1"));
    REQUIRE(accepted);
    CHECK(accepted.value().state == ReceiptState::AcceptedNotDurable);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet[i].manager->isWithdrawn(KeyId("k1")));
    }
    const Outcome<Receipt> regrant =
        fleet[1].submit(Commands::make("g", GrantKey { KeyId("k1"), bodega, sha256Hex("x") }));
    CHECK_FALSE(regrant);
    CHECK_FALSE(fleet[0].submit(Commands::withdrawal("x", "no-such-key")));

    fleet[1].isSilent = true;
    const Outcome<Receipt> alone = fleet[0].submit(Commands::withdrawal("v", "k2"));
    REQUIRE_FALSE(alone);
    CHECK(alone.error().verdict == Verdict::MayHaveRun);
    CHECK(fleet[0].manager->isWithdrawn(KeyId("k2")));

    fleet.cutStore(false);
    fleet.advance(3);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet[i].manager->configuration()->keys.at(KeyId("k1")).isWithdrawn);
        CHECK(fleet[i].manager->configuration()->keys.at(KeyId("k2")).isWithdrawn);
        CHECK(fleet[i].manager->ownStatement(fleet.clock.now()).pendingWithdrawals.empty());
    }
    CHECK(fleet[0].version() == ConfigurationVersion(3));
    const Outcome<Receipt> again = fleet[2].submit(Commands::withdrawal("w", "k1"));
    CHECK(again);
}

TEST_CASE("a withdrawal outlives the VM that accepted it")
{
    // Guards against a withdrawal that is written by no one because its VM died in the outage.
    RunningFleet fleet;
    fleet.cutStore(true);
    REQUIRE(fleet[0].submit(Commands::withdrawal("w", "k1")));
    fleet.vms.erase(fleet.vms.begin());
    fleet.join();
    fleet.cutStore(false);
    fleet.advance(8);
    CHECK(fleet[0].manager->configuration()->keys.at(KeyId("k1")).isWithdrawn);
    CHECK(fleet[0].version() == ConfigurationVersion(2));
}

TEST_CASE("a VM that starts in an outage serves once a majority of the regions has sent its configuration")
{
    // Guards against a VM that serves by the configuration of a single stale VM, or can't start without the store.
    RunningFleet fleet;
    REQUIRE(fleet[0].submit(Commands::customer("c", 9)));
    // The other two VMs have not read version 2 when the store fails.
    fleet.cutStore(true);
    fleet.vms.push_back(fleet.make("vm-new", "pampa"));
    fleet.join();
    TestVm &newVm = fleet[3];
    newVm.path.isCut = true;
    const auto starts = [&] {
        newVm.manager->noteTick(fleet.clock.now());
        return static_cast<bool>(capture([&] {
            return newVm.manager->start(Deadline::never());
        }));
    };
    CHECK_FALSE(starts());
    CHECK(newVm.manager->newestStatements(fleet.clock.now()).empty());
    fleet.pull(newVm, fleet[2]);
    CHECK(newVm.version() == ConfigurationVersion(1));
    CHECK_FALSE(starts());
    // The second region has a newer version; its statements count only after its entries were received.
    newVm.manager->takeStatement(fleet[0].manager->ownStatement(fleet.clock.now()), fleet.clock.now());
    CHECK_FALSE(starts());
    fleet.pull(newVm, fleet[0]);
    CHECK(starts());
    CHECK(newVm.version() == ConfigurationVersion(2));
    CHECK(newVm.manager->isFresh(fleet.clock.now()));
}

TEST_CASE("old and non-consecutive entries from a peer change nothing, and a snapshot closes the gap")
{
    // Guards against a VM that goes back to an older version, or applies entries with some missing in between.
    RunningFleet fleet;
    const std::string oldSnapshot = fleet[0].manager->snapshot();
    const std::vector<LogEntry> oldEntries = fleet[0].manager->entriesAfter({}, 64);
    REQUIRE(oldEntries.size() == 1);
    REQUIRE(fleet[0].submit(Commands::customer("c", 9)));
    REQUIRE(fleet[0].submit(Commands::customer("d", 7)));
    fleet[0].manager->takeEntries(oldEntries);
    CHECK(capture([&] {
        return fleet[0].manager->takeSnapshot(oldSnapshot);
    }));
    CHECK(fleet[0].version() == ConfigurationVersion(3));
    fleet[1].manager->takeEntries(fleet[0].manager->entriesAfter(ConfigurationVersion(2), 64));
    CHECK(fleet[1].version() == ConfigurationVersion(1));
    CHECK(capture([&] {
        return fleet[1].manager->takeSnapshot(fleet[0].manager->snapshot());
    }));
    CHECK(fleet[1].version() == ConfigurationVersion(3));
    CHECK(fleet[1].manager->entriesAfter(ConfigurationVersion(1), 64).empty());
    CHECK_FALSE(capture([&] {
        return fleet[1].manager->takeSnapshot("{}");
    }));
}

TEST_CASE("the region of the store is cut off while two other regions keep each other fresh")
{
    // Guards against a change reported as in force while VMs elsewhere still serve without it.
    RunningFleet fleet;
    fleet[1].path.isCut = true;
    fleet[2].path.isCut = true;
    fleet[1].isSilent = true;
    fleet[2].isSilent = true;
    const Outcome<Receipt> receipt = fleet[0].submit(Commands::customer("c", 9));
    REQUIRE(receipt);
    for (int i = 0; i < 8; ++i) {
        fleet.advance(1);
        fleet.pull(fleet[1], fleet[2]);
        fleet.pull(fleet[2], fleet[1]);
    }
    CHECK(fleet[1].manager->isFresh(fleet.clock.now()));
    CHECK(fleet[2].manager->isFresh(fleet.clock.now()));
    const InForceStatus cut = fleet[0].manager->inForceStatus(ConfigurationVersion(2), fleet.clock.now());
    CHECK_FALSE(cut.isInForce);
    CHECK(cut.unconfirmed.size() == 2);

    // A single region is no majority: its VM is not fresh, so the change is in force without it.
    fleet[1].path.isCut = false;
    fleet[1].isSilent = false;
    fleet.advance(8);
    CHECK_FALSE(fleet[2].manager->isFresh(fleet.clock.now()));
    CHECK(fleet[0].manager->inForceStatus(ConfigurationVersion(2), fleet.clock.now()).isInForce);
}

TEST_CASE("a paused VM is not fresh until it has read the store again, and polls at once")
{
    // Guards against requests served by a process that was frozen while its key was withdrawn.
    RunningFleet fleet;
    REQUIRE(fleet[0].manager->isFresh(fleet.clock.now()));
    fleet.clock.advance(longestTickGap + Microseconds(1));
    CHECK_FALSE(fleet[0].manager->isFresh(fleet.clock.now()));
    fleet.tick();
    CHECK(fleet[0].manager->isFresh(fleet.clock.now()));
}

TEST_CASE("a hint of a newer version wakes the waiting thread and causes an early poll")
{
    // Guards against a withdrawal that waits for the next regular poll.
    RunningFleet fleet;
    REQUIRE(fleet[0].submit(Commands::withdrawal("w", "k1")));
    fleet.clock.advance(Microseconds(500'000));
    fleet[1].manager->tick(fleet.clock.now());
    CHECK(fleet[1].version() == ConfigurationVersion(1));
    std::thread waiter([&fleet] {
        fleet[1].manager->waitForWork(Microseconds(60'000'000));
        fleet[1].manager->tick(fleet.clock.now());
    });
    fleet[1].manager->hintVersion(ConfigurationVersion(2));
    waiter.join();
    CHECK(fleet[1].version() == ConfigurationVersion(2));
}

TEST_CASE("a process that left the platform's list is retired once, and is no longer fresh")
{
    // Guards against a lost VM whose share of a customer's limit no VM may take over, and against a log entry from each
    // remaining VM.
    RunningFleet fleet;
    const VmIncarnation lost = fleet[2].entry.process;
    for (std::size_t i = 0; i < 2; ++i) {
        fleet[i].listed.erase(lost.vm);
    }
    fleet.advance(9);
    CHECK_FALSE(fleet[0].manager->configuration()->isRetired(lost));
    fleet.advance(12);
    CHECK(fleet[0].manager->configuration()->isRetired(lost));
    CHECK(fleet[0].version() == ConfigurationVersion(2));
    CHECK(fleet[2].manager->isSelfRetired());
    CHECK_FALSE(fleet[2].manager->isFresh(fleet.clock.now()));
    fleet[2].manager->renew(Incarnation(2));
    CHECK(fleet[2].manager->isFresh(fleet.clock.now()));
}

TEST_CASE("a start uses the snapshot and the rows after it, and a resent command is still known")
{
    // Guards against starts that read the whole log, and against command ids lost with the rows before the snapshot.
    RunningFleet fleet;
    for (std::uint64_t i = 2; i <= snapshotInterval + 3; ++i) {
        REQUIRE(fleet[0].submit(Commands::customer("c" + std::to_string(i), 5)));
    }
    fleet.advance(2);
    const Outcome<Configuration> snapshot = capture([&] {
        return fleet[0].log.loadSnapshot(Deadline::never());
    });
    REQUIRE(snapshot);
    CHECK(snapshot.value().version >= ConfigurationVersion(snapshotInterval));
    const std::unique_ptr<TestVm> newVm = fleet.make("vm-new", "norte");
    REQUIRE(capture([&] {
        return newVm->manager->start(Deadline::never());
    }));
    CHECK(newVm->version() == fleet[0].version());
    const Outcome<Receipt> again = newVm->submit(Commands::customer("c7", 5));
    REQUIRE(again);
    CHECK(again.value().version == ConfigurationVersion(7));
}

TEST_CASE("commands through several VMs at the same time all take effect once")
{
    // Guards against data races in the manager and against writers that overwrite each other's rows.
    RunningFleet fleet;
    std::atomic<int> accepted { 0 };
    std::vector<std::thread> threads;
    for (std::size_t vm = 0; vm < 3; ++vm) {
        threads.emplace_back([&fleet, &accepted, vm] {
            for (int i = 0; i < 15; ++i) {
                const std::string id = "c" + std::to_string(vm) + "-" + std::to_string(i);
                const Command command = Commands::customer(id, 1 + i, id);
                // A writer that loses too often in a row to other writers is told to send the command again.
                while (!fleet[vm].submit(command)) {
                    std::this_thread::yield();
                }
                accepted += 1;
                [[maybe_unused]] const bool isFresh = fleet[(vm + 1) % 3].manager->isFresh(fleet.clock.now());
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    fleet.advance(2);
    CHECK(accepted == 45);
    CHECK(fleet[0].version() == ConfigurationVersion(46));
    CHECK(fleet[0].manager->snapshot() == fleet[1].manager->snapshot());
}
