#pragma once

#include <Entry/CallerRecord.h>
#include <Soak/SoakFault.h>
#include <StandIns/WireTarget/WireTarget.h>

#include <string>
#include <vector>

namespace Sapphire {

/// A use of a key of which it is known whether the rules in force hold it.
struct SoakKeyProbe
{
    CallerRecord record;
    bool isHeld { false };
};

/// A target that was taken away as planned.
struct SoakDrain
{
    std::string target;
    TimePoint at {};
    TimePoint backAt {};
};

/// All that callers and targets of one run saw, and what was done to the deployment.
struct SoakRecord
{
    TimePoint startedAt {};
    TimePoint faultsEndedAt {};
    std::vector<std::string> vmAddresses; ///< As callers use them, by number.
    std::vector<SoakFault> faults;
    std::vector<CallerRecord> requests;
    std::vector<SoakKeyProbe> probes;
    std::vector<SoakDrain> drains;
    std::vector<WireTargetRun> runs;
    std::vector<std::string> unexpectedEnds; ///< Of VMs' processes, in words.
};

} // namespace Sapphire
