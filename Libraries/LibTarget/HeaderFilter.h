#pragma once

#include <string_view>

namespace Sapphire {

/// Returns whether the text has no control characters, so that it can't inject another header or request.
bool isSafeText(std::string_view text);
/// Returns whether a request header of the caller may be forwarded to a target. This excludes hop-by-hop and framing
/// headers, those that this system sets itself, and Authorization.
bool mayForwardToTarget(std::string_view name);
/// Returns whether an answer header of a target may be forwarded to the caller.
bool mayForwardToCaller(std::string_view name);

} // namespace Sapphire
