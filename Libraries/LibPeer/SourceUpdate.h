#pragma once

#include <LibCore/SourceRevision.h>
#include <LibSteering/TargetList.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// What VMs read from the platform and send updates of to each other.
enum class SourceKind {
    Rules,
    Targets,
};

/// What a VM has read from a source, as sent to other VMs.
struct SourceUpdate
{
    SourceKind kind { SourceKind::Rules };
    std::uint64_t digest { 0 };
    TimePoint readAt {};
    TargetListChange change {}; ///< Of targets: the difference to the list that the reader had before.
    std::string document {}; ///< Of rules, if they changed: the document that was read.
    VmId origin {}; ///< The VM that sent it first; empty for an update of this VM's own.
    bool isRelayed { false }; ///< `origin` got it from the region that reads for all.
    SourceRevision revision {}; ///< The platform's, when it was read.
};

/// The rules that a VM has.
struct RulesStatus
{
    std::uint64_t digest { 0 };
    SourceRevision revision {}; ///< The newest one at which they are known to have been the platform's.
};

} // namespace Sapphire
