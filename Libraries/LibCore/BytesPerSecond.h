#pragma once

#include <LibCore/StrongId.h>

#include <cstdint>

namespace Sapphire {

/// The rate of a link or of a sender.
using BytesPerSecond = StrongNumber<struct BytesPerSecondTag>;

} // namespace Sapphire
