#pragma once

#include <LibCore/Deadline.h>

#include <functional>

namespace Sapphire {

/// Checks the condition every few milliseconds until it holds or the deadline has passed. Returns whether it held.
[[nodiscard]] bool waitFor(const std::function<bool()> &condition, Deadline deadline);

/// Returns the deadline that is the given interval from now.
Deadline after(Microseconds interval);

} // namespace Sapphire
