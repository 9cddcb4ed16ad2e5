#pragma once

#include <sys/types.h>

namespace Sapphire {

/// What a process has used so far, as the kernel counts it.
struct ProcessUsage
{
    double processorSeconds { 0 };
    double residentBytes { 0 };

    /// Returns zeros for a process that doesn't run.
    static ProcessUsage of(pid_t process);
};

} // namespace Sapphire
