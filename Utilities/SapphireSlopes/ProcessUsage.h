#pragma once

#include <sys/types.h>

namespace Sapphire {

/// The processor time that a process has used and the memory that it occupies, as the kernel counts them.
struct ProcessUsage
{
    double processorSeconds { 0 };
    double residentBytes { 0 };

    /// Returns zeros for a process that doesn't run.
    static ProcessUsage of(pid_t process);
};

} // namespace Sapphire
