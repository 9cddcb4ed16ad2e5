#pragma once

#include <StandIns/Platform/PlatformFaults.h>
#include <StandIns/Platform/PlatformState.h>
#include <StandIns/Platform/RateCounter.h>
#include <StandIns/Platform/VmList.h>

#include <cstdint>

namespace Sapphire {

/// State that the handlers of all connections share.
struct PlatformServerParts
{
    std::uint64_t readCeiling { 0 };
    std::uint64_t writeCeiling { 0 };
    PlatformState state;
    VmList vms;
    PlatformFaults faults;
    RateCounter reads;
    RateCounter writes;
};

} // namespace Sapphire
