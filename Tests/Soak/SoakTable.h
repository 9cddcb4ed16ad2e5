#pragma once

#include <Soak/SoakRecord.h>

#include <string>

namespace Sapphire {

/// Returns a table of what was injected, and of what the callers saw of the requests that were sent meanwhile.
std::string soakTable(const SoakRecord &record);

} // namespace Sapphire
