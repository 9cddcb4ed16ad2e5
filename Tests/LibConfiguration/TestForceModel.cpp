#include "ForceModel.h"

#include <LibConfiguration/ForceTracker.h>
#include <LibConfiguration/Freshness.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

using Cut = std::array<bool, ForceModelState::vmCount>;

/// More steps than the eager exchange needs to reach all its states.
constexpr int unlimitedDepth = 100;

constexpr TimePoint present { Microseconds(1'000'000'000) };
const std::array<std::string, 3> regionNames { "r0", "r1", "r2" };

TimePoint before(unsigned age)
{
    return present - freshnessLimit * age;
}

VmIncarnation processOf(std::size_t vm)
{
    return { VmId("v" + std::to_string(vm)), Incarnation(1) };
}

Configuration oldConfiguration()
{
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    for (const std::string &name : regionNames) {
        configuration.regions[RegionId(name)] = RegionRecord { RegionId(name), {}, {}, ConfigurationVersion(1) };
    }
    return configuration;
}

/// Asks the library about a VM without the change in a state of the model.
bool isFreshInLibrary(const ForceModelState &state, std::size_t vm, const std::set<VmId> &members)
{
    const std::set<KeyId> noWithdrawals;
    const Configuration configuration = oldConfiguration();
    const std::size_t ownRegion = ForceModelState::regionOf(vm);
    Freshness freshness;
    freshness.noteTick(present);
    if (!state.isEmpty[vm]) {
        freshness.noteStoreContact(before(state.storeAge));
    }
    for (std::size_t region = 0; region < ForceModelState::regionCount; ++region) {
        const std::size_t roommate = vm % 2 == 0 ? vm + 1 : vm - 1;
        const std::size_t speaker = region == ownRegion ? roommate : region * 2;
        freshness.takeStatement({ processOf(speaker),
                                  RegionId(regionNames[region]),
                                  before(state.age[vm][region]),
                                  configuration.version,
                                  {} },
                                present);
    }
    return freshness.isFresh({ processOf(vm), RegionId(regionNames[ownRegion]), configuration, noWithdrawals, members },
                             present);
}

std::vector<RosterVm> rosterOf(const ForceModelState &state, bool withChange)
{
    std::vector<RosterVm> vms;
    for (std::size_t vm = 0; vm < ForceModelState::vmCount; ++vm) {
        RosterVm entry;
        entry.process = processOf(vm);
        entry.place.region = RegionId(regionNames[ForceModelState::regionOf(vm)]);
        entry.confirmedVersion = ConfigurationVersion(state.hasChange[vm] && withChange ? 2 : 1);
        vms.push_back(entry);
    }
    return vms;
}

bool isInForceInLibrary(const ForceModelState &state)
{
    ForceTracker tracker;
    tracker.observe(rosterOf(state, false), before(state.confirmationAge + 2));
    tracker.observe(rosterOf(state, true), before(state.confirmationAge));
    tracker.observe(rosterOf(state, true), present);
    return tracker.status(ConfigurationVersion(2), oldConfiguration().regions, present).isInForce;
}

bool findsViolation(DroppedRule dropped, bool allowsRestart)
{
    // Without a restart the cut restricts nothing but contacts: a VM may learn the change from any peer that has it.
    const Cut onlyWriterHasStore { false, true, true, true, true, true };
    const Cut oneFarVmHasStore { false, true, true, true, true, false };
    const bool needsContact = dropped == DroppedRule::ReadBeforeContact;
    ForceModel model(needsContact ? oneFarVmHasStore : onlyWriterHasStore, dropped, Exchange::Eager, allowsRestart);
    return model.findViolation(unlimitedDepth).has_value();
}

} // namespace

TEST_CASE("no VM serves by a version older than one in force, whichever VMs the store is cut off from")
{
    // Guards against rules of freshness and of the in-force decision that don't fit together. A step is a unit of time,
    // a pull of statements from one peer, a confirmation or the loss of one VM's state.
    std::size_t count = 0;
    for (unsigned mask = 0; mask < 64; ++mask) {
        Cut cut {};
        for (std::size_t vm = 0; vm < cut.size(); ++vm) {
            cut[vm] = ((mask >> vm) & 1U) != 0;
        }
        // The VMs of a region are alike, but for the writer, and so are the two regions without it.
        if ((cut[2] && !cut[3]) || (cut[4] && !cut[5]) || cut[2] + cut[3] > cut[4] + cut[5]) {
            continue;
        }
        CAPTURE(mask);
        ForceModel eager(cut, DroppedRule::None, Exchange::Eager, true);
        REQUIRE_FALSE(eager.findViolation(unlimitedDepth));
        count += eager.states().size();
    }
    MESSAGE("states over all cuts: ", count);
    // With the store cut off from all VMs, any of them may restart, so this includes what the other cuts allow.
    ForceModel deeper({ true, true, true, true, true, true }, DroppedRule::None, Exchange::StepByStep, true);
    REQUIRE_FALSE(deeper.findViolation(5));
    MESSAGE("states of the total cut step by step: ", deeper.states().size());
}

TEST_CASE("each rule is needed")
{
    // Guards against a model that can't find anything, and shows what each omission breaks.
    // A peer's statement from just before its confirmation still keeps another VM fresh.
    CHECK(findsViolation(DroppedRule::Wait, false));
    // The same, when a peer in another region confirms long after the write.
    CHECK(findsViolation(DroppedRule::WaitFromConfirmation, false));
    // Unconfirmed VMs in two of three regions keep each other fresh.
    CHECK(findsViolation(DroppedRule::Span, false));
    // A VM without the change takes the word of one that has it for "nothing new".
    CHECK(findsViolation(DroppedRule::NewerStatements, false));
    // Two VMs pass an old statement back and forth and keep it young.
    CHECK(findsViolation(DroppedRule::RelayedAge, false));
    // A VM reaches the store, doesn't read the change, and takes itself for fresh.
    CHECK(findsViolation(DroppedRule::ReadBeforeContact, false));
    // Statements from before the change keep a VM fresh for ever.
    CHECK(findsViolation(DroppedRule::FreshnessLimit, false));
    // A VM that had confirmed loses its state and makes a majority with an unconfirmed one.
    CHECK(findsViolation(DroppedRule::StartMajority, true));
    // The same, seen from the unconfirmed one.
    CHECK(findsViolation(DroppedRule::StartSilence, true));
}

TEST_CASE("the library decides as the model does")
{
    // Guards against a model that proves rules which the library doesn't follow.
    std::set<VmId> members;
    for (std::size_t vm = 0; vm < ForceModelState::vmCount; ++vm) {
        members.insert(processOf(vm).vm);
    }
    ForceModel eager({}, DroppedRule::None, Exchange::Eager, false);
    REQUIRE_FALSE(eager.findViolation(unlimitedDepth));
    ForceModel model({}, DroppedRule::None, Exchange::StepByStep, false);
    REQUIRE_FALSE(model.findViolation(4));
    // Many states of the second kind differ only in who pulled first, so a sample of them is enough.
    std::vector<ForceModelState> states = eager.states();
    for (std::size_t i = 0; i < model.states().size(); i += 7) {
        states.push_back(model.states()[i]);
    }
    std::size_t freshCount = 0;
    std::size_t inForceCount = 0;
    for (const ForceModelState &state : states) {
        const bool isInForce = isInForceInLibrary(state);
        REQUIRE(isInForce == model.isInForce(state));
        inForceCount += isInForce ? 1U : 0U;
        for (std::size_t vm = 0; vm < ForceModelState::vmCount; ++vm) {
            if (!state.hasChange[vm]) {
                const bool isFresh = isFreshInLibrary(state, vm, members);
                REQUIRE(isFresh == model.isFresh(state, vm));
                freshCount += isFresh ? 1U : 0U;
            }
        }
    }
    CHECK(freshCount > 0);
    CHECK(inForceCount > 0);
}
