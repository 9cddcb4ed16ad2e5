#pragma once

#include <cstdlib>
#include <string>

namespace Sapphire {

/// Returns the path of a program in the folder that an environment variable names. Without the variable it is the
/// program of this build.
inline std::string programOf(const char *variable, const std::string &name)
{
    const char *const folder = std::getenv(variable);
    return folder == nullptr ? name : std::string(folder) + "/" + name;
}

/// Returns a program of the older release. By default that is this build, and an upgrade is a plain replacement.
inline std::string oldProgram(const std::string &name)
{
    return programOf("SAPPHIRE_OLD_PROGRAMS", name);
}

/// Returns a program of the newer release.
inline std::string newProgram(const std::string &name)
{
    return programOf("SAPPHIRE_NEW_PROGRAMS", name);
}

} // namespace Sapphire
