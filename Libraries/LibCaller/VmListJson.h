#pragma once

#include <LibExchange/Refusal.h>

#include <Poco/JSON/Array.h>

namespace Sapphire {

/// Returns the VMs in the JSON format of look-ups and refusals.
Poco::JSON::Array::Ptr vmListJson(const std::vector<AlternativeVm> &vms);

} // namespace Sapphire
