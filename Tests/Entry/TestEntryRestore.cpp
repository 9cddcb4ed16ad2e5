#include <Entry/EntryCallers.h>

#include <algorithm>
#include <functional>

using namespace Sapphire;

namespace {

// The platform's bound on the time from a change's acknowledgement until each VM follows it.
constexpr Milliseconds configurationDeadline { 2'500 };
constexpr Milliseconds awayTime { 1'000 };
// Times that each target's entry is written and lost, so that the store's version falls for the whole test.
constexpr int lostWrites = 15;
// The VMs have read the store's newest version by then.
constexpr Milliseconds readTime { 2'500 };
constexpr int status200 = 200;
constexpr int status401 = 401;

/// A deployment whose store comes back from an older copy.
class RestoredDeployment
{
public:
    RestoredDeployment()
    {
        rules.version = 2;
        rules.keys = { "key-1", "withdrawn-before" };
        put();
        REQUIRE(waitFor(
            [&] {
                return allAnswer("read", "withdrawn-before", status200);
            },
            after(configurationDeadline)));
    }

    void put()
    {
        deployment.applyRules(rules);
    }
    /// Writes that are of no importance to the rules.
    void announceTargets(int times)
    {
        for (int i = 0; i < times; ++i) {
            for (const WireTarget *const target : deployment.targetList()) {
                deployment.announce(*target, "ready");
            }
        }
    }
    /// The store goes away and comes back from the copy. `write` runs before the first VM reads it again.
    void restore(const StoreTables &copy, const std::function<void()> &write)
    {
        StoreFaults away;
        away.status = 503;
        deployment.store().setFaults(away);
        std::this_thread::sleep_for(awayTime);
        deployment.store().restore(copy);
        announceTargets(1);
        write();
        deployment.store().setFaults({});
    }
    /// Writes a version that adds a route and a key and withdraws another.
    void putLastVersion()
    {
        rules.version = 4;
        rules.keys = { "added-after" };
        rules.addedRoute = "added";
        put();
    }
    void checkLastVersion()
    {
        std::this_thread::sleep_for(configurationDeadline);
        CHECK(allAnswer("added", "added-after", status200));
        CHECK(allAnswer("read", "added-after", status200));
        CHECK(allAnswer("read", "key-1", status401));
        CHECK(!anyServes("withdrawn-before"));
    }
    /// Withdraws a key, and makes the VMs read versions of the store that it is about to lose.
    void withdrawKey()
    {
        rules.version = 3;
        rules.keys = { "key-1" };
        put();
        REQUIRE(waitFor(
            [&] {
                return allAnswer("read", "withdrawn-before", status401);
            },
            after(configurationDeadline)));
        announceTargets(lostWrites);
        std::this_thread::sleep_for(readTime);
    }
    bool allAnswer(const std::string &route, const std::string &key, int status)
    {
        return std::all_of(deployment.vms().begin(), deployment.vms().end(), [&](const EntryVm &vm) {
            return EntryCallers::send(deployment.callerAddress(vm), "GET", "/" + route + "/1", "r", key,
                                      Milliseconds(1'000))
                       .status
                == status;
        });
    }
    bool anyServes(const std::string &key)
    {
        return std::any_of(deployment.vms().begin(), deployment.vms().end(), [&](const EntryVm &vm) {
            return EntryCallers::send(deployment.callerAddress(vm), "GET", "/read/1", "r", key, Milliseconds(1'000))
                       .status
                == status200;
        });
    }

    EntryDeployment deployment { 2, 2 };
    EntryRules rules;
};

} // namespace

TEST_CASE("Rules are followed after the store has come back from an older copy with lower versions")
{
    // Guards against VMs that drop every later version, since the store's counter hasn't reached the old one yet.
    RestoredDeployment restored;
    const StoreTables copy = restored.deployment.store().copy();
    restored.withdrawKey();
    restored.restore(copy, [] {});
    // The copy has the key, and the operators haven't written yet.
    const Deadline untilWritten = after(Milliseconds(1'500));
    while (!untilWritten.hasPassed(BootClock().now())) {
        CHECK(!restored.anyServes("withdrawn-before"));
    }
    restored.put();
    restored.putLastVersion();
    restored.checkLastVersion();
}

TEST_CASE("Rules are followed after the store has come back and has passed the old version before it is read")
{
    // Guards against VMs that miss what was written under version numbers that they had already read.
    RestoredDeployment restored;
    const StoreTables copy = restored.deployment.store().copy();
    restored.withdrawKey();
    restored.restore(copy, [&] {
        restored.put();
        restored.putLastVersion();
        restored.announceTargets(2 * lostWrites);
    });
    restored.checkLastVersion();
}

TEST_CASE("A VM whose record the store has lost enters it again")
{
    // Guards against a VM that those which start later don't know: look-ups omit it and its quota is spent twice.
    RestoredDeployment restored;
    StoreTables copy = restored.deployment.store().copy();
    const std::string lost = restored.deployment.vms().front().name;
    copy.remove("vms", lost);
    REQUIRE(!restored.deployment.store().content("vms", lost).empty());
    restored.restore(copy, [] {});
    REQUIRE(restored.deployment.store().content("vms", lost).empty());
    const std::size_t known = restored.deployment.lookUp(restored.deployment.vms()[1]).size();
    const Deadline deadline = after(Milliseconds(8'000));
    while (!deadline.hasPassed(BootClock().now()) && restored.deployment.store().content("vms", lost).empty()) {
        // The others of its region go on to name it.
        CHECK(restored.deployment.lookUp(restored.deployment.vms()[1]).size() == known);
        std::this_thread::sleep_for(Milliseconds(100));
    }
    CHECK(!restored.deployment.store().content("vms", lost).empty());
}
