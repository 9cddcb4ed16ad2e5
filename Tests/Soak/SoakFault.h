#pragma once

#include <LibCore/Deadline.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace Sapphire {

/// The faults that the soak test injects into the deployment.
enum class SoakFaultKind : std::uint8_t {
    VmKilled,
    VmFrozen,
    VmStopped, ///< A planned stop by SIGTERM, followed by a restart.
    SettingsChanged,
    StoreLinkReset,
    StoreLinkSilent, ///< One way: the store's answers don't reach the VM.
    StoreLinkSlow,
    StoreDown,
    StoreSilent,
    StoreResetting,
    StoreSlow,
    StoreLosesAnswers,
    StoreDropsHistory, ///< The history of changes is lost; the rows stay.
    TargetCrashed,
    TargetFailing,
    TargetSilent,
    TargetDrained,
    TargetLeaving, ///< It says so in its answers, while the list still shows it as ready; then it starts again.
    TargetPaused, ///< It turns all requests away and asks for a pause.
    TargetLinkReset,
    TargetLinkSilent, ///< One way: the target's answers don't reach the VMs.
    TargetLinkSlow,
    KeyChanged, ///< The rules replace the customer's second key.
};

/// What a fault affects. Faults of one scope on the same victim never overlap; all others may.
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

/// The size of the deployment under test.
struct SoakSize
{
    int vms { 4 };
    int targets { 6 };
};

/// Generates the random faults of a run, ordered by their start. The same seed gives the same faults.
std::vector<SoakFault> drawFaults(std::uint64_t seed, Milliseconds duration, const SoakSize &size);

} // namespace Sapphire
