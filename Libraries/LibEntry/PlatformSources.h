#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibSteering/ServingRules.h>
#include <LibSteering/TargetListEntry.h>
#include <LibSteering/VmRecord.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// What operators have written: the rules, and the zones to which nothing may be sent.
struct OperatorState
{
    RefPointer<const ServingRules> rules; ///< Null if there are none, or none that can be read.
    std::set<AvailabilityZoneId> evacuatedZones;
    std::string document; ///< From which the sources of other VMs can take the same state.
};

/// Where the operators' rules come from. One thread at a time; every call may block until its deadline.
class OperatorStateSource
{
public:
    virtual ~OperatorStateSource() = default;

    /// Returns the state as soon as it differs from the one returned last, or after the longest wait as it is. The
    /// first call returns at once. Fails with Unavailable, Timeout and DataLoss.
    [[nodiscard]] virtual Result<OperatorState> next(Milliseconds longestWait, Deadline deadline) = 0;
    /// Takes the document of another VM's state. Returns nothing if what this source knows is as new.
    /// Fails with InvalidArgument.
    [[nodiscard]] virtual Result<std::optional<OperatorState>> adopt(const std::string &document) = 0;
};

/// The platform's list of targets. One thread at a time; every call may block until its deadline.
class TargetListSource
{
public:
    virtual ~TargetListSource() = default;

    /// Returns the targets that are listed now. Entries that can't be read are left out.
    /// Fails with Unavailable, Timeout and DataLoss.
    [[nodiscard]] virtual Result<std::vector<TargetListEntry>> read(Deadline deadline) = 0;
};

/// Where VMs find each other. One thread at a time; every call may block until its deadline.
class VmRegistry
{
public:
    virtual ~VmRegistry() = default;

    /// Enters this VM or replaces its record. Fails with Unavailable and Timeout.
    [[nodiscard]] virtual Result<void> enter(const VmRecord &record, Deadline deadline) = 0;
    /// Removes this VM's record. Fails with Unavailable and Timeout.
    [[nodiscard]] virtual Result<void> leave(const VmId &vm, Deadline deadline) = 0;
    /// Returns all records as soon as they differ from those returned last, or after the longest wait. The first call
    /// returns at once. Fails with Unavailable, Timeout and DataLoss.
    [[nodiscard]] virtual Result<std::vector<VmRecord>> next(Milliseconds longestWait, Deadline deadline) = 0;
};

} // namespace Sapphire
