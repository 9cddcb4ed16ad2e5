#pragma once

#include <LibCore/Result.h>

#include <string>
#include <vector>

#include <sys/types.h>

namespace Sapphire {

struct ChildStart
{
    std::string program; ///< Path.
    std::vector<std::string> arguments;
    std::string outputFile;
    std::string errorFile;
};

/// Starts a program that is killed when this process dies. Fails with Unavailable if it cannot be run.
/// PR_SET_PDEATHSIG kills a child when the thread that forked it ends, so all children are started by one thread that
/// lives as long as the process.
[[nodiscard]] Result<pid_t> startChild(const ChildStart &start);

} // namespace Sapphire
