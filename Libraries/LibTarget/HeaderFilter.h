#pragma once

#include <LibExchange/Messages.h>

#include <string_view>
#include <vector>

namespace Sapphire {

/// Returns whether the text holds no control characters, so that it can't begin another header or request.
bool isSafeText(std::string_view text);
/// Returns whether a request header of the caller may go to a target. Those that describe the connection or the
/// framing may not, nor any that this system sets itself, and Authorization never.
bool mayPassToTarget(std::string_view name);
/// Returns whether an answer header of a target may go to the caller.
bool mayPassToCaller(std::string_view name);
/// Returns the names that the Connection headers list (RFC 9110, section 7.6.1).
std::vector<std::string> connectionOptions(const std::vector<HeaderField> &headers);

} // namespace Sapphire
