#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Sapphire {

/// What the soak does to the deployment from outside.
enum class SoakFaultKind : std::uint8_t {
    VmKilled,
    VmFrozen,
    VmStopped, ///< As planned, by SIGTERM, and started again.
    SettingsChanged,
    StoreLinkReset,
    StoreLinkSilent, ///< One way: the store's answers don't reach the VM.
    StoreLinkSlow,
    StoreDown,
    StoreSilent,
    StoreResetting,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, ///< The history of changes.
    TargetCrashed,
    TargetFailing,
    TargetSilent,
    TargetDrained,
    TargetLinkReset,
    TargetLinkSilent, ///< One way: the target's answers don't reach the VMs.
    TargetLinkSlow,
    KeyChanged, ///< The rules replace the second key of the customer.
};

/// What a fault hits. Faults on the same victim of one scope come one after the other; others overlap.
enum class SoakScope : std::uint8_t {
    Vm,
    StoreLink,
    Store,
    Target,
    TargetLink,
    Rules,
};

/// The properties of a kind of fault.
struct SoakFaultType
{
    SoakFaultKind kind;
    SoakScope scope;
    std::string_view name;
    Milliseconds shortest;
    Milliseconds longest;
};

/// Returns all kinds, in the order of SoakFaultKind.
const std::vector<SoakFaultType> &soakFaultTypes();
const SoakFaultType &typeOf(SoakFaultKind kind);

/// One fault of a run.
struct SoakFault
{
    SoakFaultKind kind { SoakFaultKind::VmKilled };
    std::size_t victim { 0 }; ///< Number of the VM or target; 0 for the store and the rules.
    Milliseconds from {}; ///< Since the start of the run.
    Milliseconds to {};
};

/// How large the deployment is that the soak hits.
struct SoakSize
{
    int vms { 4 };
    int targets { 6 };
};

/// Draws the faults of a run, in the order of their beginnings. The same seed gives the same faults.
std::vector<SoakFault> drawFaults(std::uint64_t seed, Milliseconds duration, const SoakSize &size);

} // namespace Sapphire
