#pragma once

#include <string_view>

namespace Sapphire {

/// What a VM knows of whether a target has handled a request's object for its route lately, so that it works faster.
enum class CacheExpectation {
    Recent, ///< This VM saw it a few seconds ago.
    Earlier, ///< This VM saw it, but the target may have let go of the object since.
    Usual, ///< The VMs usually send the object there.
    Unlikely,
};

inline constexpr int warmthCount = 4;

/// Returns the name for log lines.
constexpr std::string_view nameOf(CacheExpectation warmth)
{
    constexpr std::string_view names[warmthCount] { "recent", "earlier", "usual", "unlikely" };
    return names[static_cast<int>(warmth)];
}

} // namespace Sapphire
