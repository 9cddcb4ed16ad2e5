#pragma once

#include <string_view>

namespace Sapphire {

/// Returns whether the text holds no control characters, so that it can't begin another header or request.
bool isSafeText(std::string_view text);
/// Returns whether a request header of the caller may go to a target. Those that describe the connection or the
/// framing may not, nor any that this system sets itself, and Authorization never.
bool mayPassToTarget(std::string_view name);
/// Returns whether an answer header of a target may go to the caller.
bool mayPassToCaller(std::string_view name);

} // namespace Sapphire
