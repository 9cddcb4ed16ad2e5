#include "InForceModel.h"

#include <LibConfiguration/Freshness.h>
#include <LibConfiguration/InForceTracker.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

using Cut = std::array<bool, InForceModelState::vmCount>;

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

/// Returns whether the library considers a VM without the change fresh in a state of the model.
bool isFreshInLibrary(const InForceModelState &state, std::size_t vm, const std::set<VmId> &members)
{
    const std::set<KeyId> noWithdrawals;
    const Configuration configuration = oldConfiguration();
    const std::size_t ownRegion = InForceModelState::regionOf(vm);
    Freshness freshness;
    freshness.noteTick(present);
    if (!state.isEmpty[vm]) {
        freshness.noteStoreContact(before(state.storeAge));
    }
    for (std::size_t region = 0; region < InForceModelState::regionCount; ++region) {
        const std::size_t regionPeer = vm % 2 == 0 ? vm + 1 : vm - 1;
        const std::size_t sender = region == ownRegion ? regionPeer : region * 2;
        freshness.takeStatement({ processOf(sender),
                                  RegionId(regionNames[region]),
                                  before(state.age[vm][region]),
                                  configuration.version,
                                  {} },
                                present);
    }
    return freshness.isFresh({ processOf(vm), RegionId(regionNames[ownRegion]), configuration, noWithdrawals, members },
                             present);
}

std::vector<RosterVm> rosterOf(const InForceModelState &state, bool withChange)
{
    std::vector<RosterVm> vms;
    for (std::size_t vm = 0; vm < InForceModelState::vmCount; ++vm) {
        RosterVm entry;
        entry.process = processOf(vm);
        entry.locality.region = RegionId(regionNames[InForceModelState::regionOf(vm)]);
        entry.confirmedVersion = ConfigurationVersion(state.hasChange[vm] && withChange ? 2 : 1);
        vms.push_back(entry);
    }
    return vms;
}

bool isInForceInLibrary(const InForceModelState &state)
{
    InForceTracker tracker;
    tracker.observe(rosterOf(state, false), before(state.confirmationAge + 2));
    tracker.observe(rosterOf(state, true), before(state.confirmationAge));
    tracker.observe(rosterOf(state, true), present);
    return tracker.status(ConfigurationVersion(2), oldConfiguration().regions, present).isInForce;
}

bool findsViolation(DroppedRule dropped, bool allowsRestart)
{
    // Without a restart, a cut only prevents contacts with the store: any VM can get the change from a peer that has
    // it.
    const Cut onlyWriterHasStore { false, true, true, true, true, true };
    const Cut oneFarVmHasStore { false, true, true, true, true, false };
    const bool needsContact = dropped == DroppedRule::ReadBeforeContact;
    InForceModel model(needsContact ? oneFarVmHasStore : onlyWriterHasStore, dropped, Exchange::Eager, allowsRestart);
    return model.findViolation(unlimitedDepth).has_value();
}

} // namespace

TEST_CASE("no VM serves by a version older than one in force, whichever VMs the store is cut off from")
{
    // Guards against rules of freshness and of the in-force decision that are unsafe in combination. A step is the
    // passing of a unit of time, a pull of statements from one peer, a confirmation or the loss of one VM's state.
    std::size_t count = 0;
    for (unsigned mask = 0; mask < 64; ++mask) {
        Cut cut {};
        for (std::size_t vm = 0; vm < cut.size(); ++vm) {
            cut[vm] = ((mask >> vm) & 1U) != 0;
        }
        // Skips symmetric cases: the VMs of a region are interchangeable, but for the writer, and so are the two
        // regions without the writer.
        if ((cut[2] && !cut[3]) || (cut[4] && !cut[5]) || cut[2] + cut[3] > cut[4] + cut[5]) {
            continue;
        }
        CAPTURE(mask);
        InForceModel eager(cut, DroppedRule::None, Exchange::Eager, true);
        REQUIRE_FALSE(eager.findViolation(unlimitedDepth));
        count += eager.states().size();
    }
    MESSAGE("states over all cuts: ", count);
    // If no VM can reach the store, any VM may restart, so this includes all that the other cuts allow.
    InForceModel deeper({ true, true, true, true, true, true }, DroppedRule::None, Exchange::StepByStep, true);
    REQUIRE_FALSE(deeper.findViolation(5));
    MESSAGE("states of the total cut step by step: ", deeper.states().size());
}

TEST_CASE("each rule is needed")
{
    // Guards against a model that can't find violations, and shows what the omission of each rule breaks.
    // A peer's statement from just before its confirmation still keeps another VM fresh.
    CHECK(findsViolation(DroppedRule::Wait, false));
    // The same, when a peer in another region confirms long after the write.
    CHECK(findsViolation(DroppedRule::WaitFromConfirmation, false));
    // Unconfirmed VMs in two of three regions keep each other fresh.
    CHECK(findsViolation(DroppedRule::Span, false));
    // A VM without the change counts a statement of a VM that has it as evidence.
    CHECK(findsViolation(DroppedRule::NewerStatements, false));
    // Two VMs forward an old statement to each other, and its age starts again each time.
    CHECK(findsViolation(DroppedRule::RelayedAge, false));
    // A VM reaches the store, doesn't read the change, and considers itself fresh.
    CHECK(findsViolation(DroppedRule::ReadBeforeContact, false));
    // Statements from before the change keep a VM fresh forever.
    CHECK(findsViolation(DroppedRule::FreshnessLimit, false));
    // A VM that had confirmed the change loses its state and forms a majority with an unconfirmed VM.
    CHECK(findsViolation(DroppedRule::StartMajority, true));
    // The same, from the side of the unconfirmed VM.
    CHECK(findsViolation(DroppedRule::StartSilence, true));
}

TEST_CASE("the library decides as the model does")
{
    // Guards against a model whose rules differ from those of the library.
    std::set<VmId> members;
    for (std::size_t vm = 0; vm < InForceModelState::vmCount; ++vm) {
        members.insert(processOf(vm).vm);
    }
    InForceModel eager({}, DroppedRule::None, Exchange::Eager, false);
    REQUIRE_FALSE(eager.findViolation(unlimitedDepth));
    InForceModel model({}, DroppedRule::None, Exchange::StepByStep, false);
    REQUIRE_FALSE(model.findViolation(4));
    // Many states of the step-by-step exchange differ only in the order of pulls, so a sample of them is enough.
    std::vector<InForceModelState> states = eager.states();
    for (std::size_t i = 0; i < model.states().size(); i += 7) {
        states.push_back(model.states()[i]);
    }
    std::size_t freshCount = 0;
    std::size_t inForceCount = 0;
    for (const InForceModelState &state : states) {
        const bool isInForce = isInForceInLibrary(state);
        REQUIRE(isInForce == model.isInForce(state));
        inForceCount += isInForce ? 1U : 0U;
        for (std::size_t vm = 0; vm < InForceModelState::vmCount; ++vm) {
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
