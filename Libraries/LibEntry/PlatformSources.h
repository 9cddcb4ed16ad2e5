#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibCore/SourceRevision.h>
#include <LibSteering/ServingRules.h>
#include <LibSteering/TargetListEntry.h>
#include <LibSteering/VmRecord.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sapphire {

/// What the operators have set: the rules, and the zones to which nothing may be sent.
struct OperatorState
{
    RefPointer<const ServingRules> rules; ///< Null if there are none, or none that can be read.
    /// The platform holds a newer configuration that can't be read; `rules` are the last ones that could be.
    bool isConfigurationUnreadable { false };
    std::set<AvailabilityZoneId> evacuatedZones;
    std::string document; ///< The state in serialized form, for OperatorStateSource::adopt() of other VMs.
    SourceRevision revision {}; ///< The platform's, at which this was the state.
    /// The platform has let the whole wait of next() pass without a change, so that this was the state at its end.
    bool isUnchanged { false };
    VmId origin {}; ///< The VM that sent the state; empty if it was read from the platform.
};

/// The source of the operators' rules.
class OperatorStateSource
{
public:
    virtual ~OperatorStateSource() = default;

    /// Returns the state as soon as it differs from the one returned last, or unchanged after the longest wait. The
    /// first call returns at once. To be called by one thread at a time; may block until the deadline. Fails with
    /// Unavailable, Timeout and DataLoss.
    [[nodiscard]] virtual Result<OperatorState> next(Milliseconds longestWait, Deadline deadline) = 0;
    /// Takes over the state in another VM's document, unless the state of this source is at least as new, and returns
    /// the newer one of the two. May be called while another thread is in next(). Fails with InvalidArgument.
    [[nodiscard]] virtual Result<OperatorState> adopt(const std::string &document) = 0;
};

/// The targets that the platform lists.
struct TargetListing
{
    std::vector<TargetListEntry> targets;
    SourceEpoch epoch; ///< The platform's, when they were read.
};

/// The platform's target list. To be used by one thread at a time; every call may block until its deadline.
class TargetListSource
{
public:
    virtual ~TargetListSource() = default;

    /// Returns the targets that are listed now. Entries that can't be read are left out.
    /// Fails with Unavailable, Timeout and DataLoss.
    [[nodiscard]] virtual Result<TargetListing> read(Deadline deadline) = 0;
};

/// The registered VMs.
struct VmList
{
    std::vector<VmRecord> records;
    SourceEpoch epoch; ///< The platform's, when they were read.
};

/// The platform's list of VMs, by which VMs find each other. To be used by one thread at a time; every call may block
/// until its deadline.
class VmRegistry
{
public:
    virtual ~VmRegistry() = default;

    /// Enters this VM or replaces its record. Fails with Unavailable and Timeout.
    [[nodiscard]] virtual Result<void> enter(const VmRecord &record, Deadline deadline) = 0;
    /// Removes a VM's record. Fails with Unavailable and Timeout.
    [[nodiscard]] virtual Result<void> leave(const VmId &vm, Deadline deadline) = 0;
    /// Returns all records as soon as they differ from those returned last, or after the longest wait. The first call
    /// returns at once. Fails with Unavailable, Timeout and DataLoss.
    [[nodiscard]] virtual Result<VmList> next(Milliseconds longestWait, Deadline deadline) = 0;
};

} // namespace Sapphire
