#include <Soak/SoakFault.h>

#include <LibCore/RandomSource.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

constexpr Milliseconds faultFreeStart { 1'000 };
constexpr double meanGapMs = 600;

std::size_t victimCount(SoakScope scope, const SoakSize &size)
{
    switch (scope) {
    case SoakScope::Vm:
    case SoakScope::StoreLink:
        return static_cast<std::size_t>(size.vms);
    case SoakScope::Target:
    case SoakScope::TargetLink:
        return static_cast<std::size_t>(size.targets);
    case SoakScope::Store:
    case SoakScope::Rules:
        break;
    }
    return 1;
}

bool overlapsSameVictim(const std::vector<SoakFault> &faults, const SoakFault &next)
{
    return std::any_of(faults.begin(), faults.end(), [&](const SoakFault &fault) {
        const bool isSame = typeOf(fault.kind).scope == typeOf(next.kind).scope && fault.victim == next.victim;
        return isSame && next.from <= fault.to;
    });
}

} // namespace

const std::vector<SoakFaultType> &soakFaultTypes()
{
    using Kind = SoakFaultKind;
    using Scope = SoakScope;
    const auto type = [](Kind kind, Scope scope, std::string_view name, int shortest, int longest) {
        return SoakFaultType { kind, scope, name, Milliseconds(shortest), Milliseconds(longest) };
    };
    static const std::vector<SoakFaultType> types {
        type(Kind::VmKilled, Scope::Vm, "VM killed", 200, 2'000),
        type(Kind::VmFrozen, Scope::Vm, "VM frozen", 200, 4'000),
        type(Kind::VmStopped, Scope::Vm, "VM stopped as planned", 3'200, 4'000),
        type(Kind::SettingsChanged, Scope::Vm, "settings changed", 100, 200),
        type(Kind::StoreLinkReset, Scope::StoreLink, "store cut off from VM", 200, 3'000),
        type(Kind::StoreLinkSilent, Scope::StoreLink, "store silent to VM", 200, 3'000),
        type(Kind::StoreLinkSlow, Scope::StoreLink, "store slow to VM", 500, 3'000),
        type(Kind::StoreDown, Scope::Store, "store down", 300, 4'000),
        type(Kind::StoreSilent, Scope::Store, "store silent", 300, 4'000),
        type(Kind::StoreResetting, Scope::Store, "store resets", 300, 4'000),
        type(Kind::StoreSlow, Scope::Store, "store slow", 500, 4'000),
        type(Kind::StoreLosesAnswers, Scope::Store, "store loses answers", 300, 1'000),
        type(Kind::StoreDropsHistory, Scope::Store, "store drops history", 100, 200),
        type(Kind::TargetCrashed, Scope::Target, "target crashed", 200, 3'000),
        type(Kind::TargetFailing, Scope::Target, "target fails", 500, 4'000),
        type(Kind::TargetSilent, Scope::Target, "target silent", 500, 4'000),
        type(Kind::TargetDrained, Scope::Target, "target drained", 3'500, 5'000),
        type(Kind::TargetLeaving, Scope::Target, "target leaving", 1'000, 4'000),
        type(Kind::TargetPaused, Scope::Target, "target asks for pauses", 500, 4'000),
        type(Kind::TargetLinkReset, Scope::TargetLink, "target cut off", 200, 2'000),
        type(Kind::TargetLinkSilent, Scope::TargetLink, "target's answers lost", 200, 2'000),
        type(Kind::TargetLinkSlow, Scope::TargetLink, "target's link slow", 500, 3'000),
        type(Kind::KeyChanged, Scope::Rules, "key changed", 2'500, 3'500),
    };
    return types;
}

const SoakFaultType &typeOf(SoakFaultKind kind)
{
    return soakFaultTypes().at(static_cast<std::size_t>(kind));
}

std::vector<SoakFault> drawFaults(std::uint64_t seed, Milliseconds duration, const SoakSize &size)
{
    RandomSource random(seed);
    std::vector<SoakFault> faults;
    const std::vector<SoakFaultType> &types = soakFaultTypes();
    Milliseconds next = faultFreeStart;
    for (;;) {
        next += Milliseconds(static_cast<std::int64_t>(-std::log(1.0 - random.unit()) * meanGapMs));
        const SoakFaultType &type = types[random.below(types.size())];
        SoakFault fault { type.kind, random.below(victimCount(type.scope, size)), next, next };
        const auto spread = static_cast<std::uint64_t>((type.longest - type.shortest).count());
        fault.to += type.shortest + Milliseconds(random.below(spread + 1));
        if (next > duration) {
            return faults;
        }
        if (fault.to <= duration && !overlapsSameVictim(faults, fault)) {
            faults.push_back(fault);
        }
    }
}

} // namespace Sapphire
