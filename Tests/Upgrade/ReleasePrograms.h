#pragma once

#include <cstdlib>
#include <string>

namespace Sapphire {

/// Returns the path of a program of the older release, in the folder that SAPPHIRE_OLD_PROGRAMS names. Without that
/// variable it is the program of this build, and an upgrade is a plain replacement.
inline std::string oldProgram(const std::string &name)
{
    const char *const folder = std::getenv("SAPPHIRE_OLD_PROGRAMS");
    return folder == nullptr ? name : std::string(folder) + "/" + name;
}

/// Returns the program of the newer release: that of this build, unless SAPPHIRE_NEW_PROGRAMS names another folder.
inline std::string newProgram(const std::string &name)
{
    const char *const folder = std::getenv("SAPPHIRE_NEW_PROGRAMS");
    return folder == nullptr ? name : std::string(folder) + "/" + name;
}

} // namespace Sapphire
