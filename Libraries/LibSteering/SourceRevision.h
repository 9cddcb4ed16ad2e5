#pragma once

#include <LibCore/StrongId.h>

#include <cstdint>

namespace Sapphire {

/// The position in the platform's history at which a list was read. Of two lists the one with the greater revision is
/// the newer one, whoever read it and whenever the news of it arrived. Zero if it is not known.
using SourceRevision = StrongNumber<struct SourceRevisionTag>;

} // namespace Sapphire
