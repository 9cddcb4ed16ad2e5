#pragma once

#include <string_view>

namespace Sapphire {

/// How likely a target has a request's object in its cache, so that it handles the request faster.
enum class CacheExpectation {
    Recent, ///< The target handled it for this VM a few seconds ago.
    Earlier, ///< The target handled it for this VM longer ago and may have evicted it since.
    Usual, ///< All VMs prefer the target for the object, so another one may have sent it there.
    Unlikely,
};

inline constexpr int cacheExpectationCount = 4;

/// Returns the name that is written to log lines.
constexpr std::string_view nameOf(CacheExpectation expectation)
{
    constexpr std::string_view names[cacheExpectationCount] { "recent", "earlier", "usual", "unlikely" };
    return names[static_cast<int>(expectation)];
}

} // namespace Sapphire
