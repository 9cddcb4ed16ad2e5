#pragma once

#include <Entry/CallerRecord.h>
#include <Soak/SoakFault.h>
#include <StandIns/WireTarget/WireTarget.h>

#include <string>
#include <vector>

namespace Sapphire {

/// A request that checks whether a key works.
struct SoakKeyProbe
{
    CallerRecord record;
    bool isValid { false }; ///< Whether the rules in force contain the key.
};

/// A planned drain of a target.
struct SoakDrain
{
    std::string target;
    TimePoint at {};
    TimePoint returnedAt {};
};

/// A target that says in its answers that it is leaving, until it starts again.
struct SoakLeave
{
    std::string target;
    TimePoint at {};
    TimePoint restartedAt { TimePoint::max() };
};

/// What callers and targets of one run recorded, and what was done to the deployment.
struct SoakRecord
{
    TimePoint startedAt {};
    TimePoint faultsEndedAt {};
    std::vector<std::string> vmAddresses; ///< The addresses for callers, by number of the VM.
    std::vector<SoakFault> faults;
    std::vector<CallerRecord> requests;
    std::vector<SoakKeyProbe> probes;
    std::vector<SoakDrain> drains;
    std::vector<SoakLeave> leaves;
    std::vector<WireTargetRun> runs;
    std::vector<WireTargetPause> pauses;
    std::vector<std::string> unexpectedEnds; ///< Descriptions of VM processes that ended unexpectedly.
};

} // namespace Sapphire
