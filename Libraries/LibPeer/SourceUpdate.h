#pragma once

#include <LibSteering/TargetList.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// What VMs read at the platform and tell each other of.
enum class SourceKind {
    Rules,
    Targets,
};

/// One VM's statement of what it has read.
struct SourceUpdate
{
    SourceKind kind { SourceKind::Rules };
    std::uint64_t digest { 0 };
    TimePoint readAt {};
    TargetListChange change {}; ///< Of targets, against the list that the reader knew before.
    std::string document {}; ///< Of rules, if they are news: from which other VMs can read them, too.
    VmId origin {}; ///< Empty for this VM's own reading.
    bool isRelayed { false }; ///< `origin` heard it from the region that reads for all.
};

} // namespace Sapphire
