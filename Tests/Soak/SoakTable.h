#pragma once

#include <Soak/SoakRecord.h>

#include <string>

namespace Sapphire {

/// Returns a table of the injected faults, with the results of the requests that were sent during each kind of fault.
std::string soakTable(const SoakRecord &record);

} // namespace Sapphire
