#pragma once

#include <LibCore/Deadline.h>

namespace Sapphire {

/// After this time a caller may come back to a VM that refused it because its configuration may be out of date.
inline constexpr Milliseconds staleRetryDelay { 1'000 };

} // namespace Sapphire
