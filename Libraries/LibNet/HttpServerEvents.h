#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::HttpServerEvents {

inline constexpr EventType requestMalformed { 14000, "request-malformed", Severity::Info };

} // namespace Sapphire::HttpServerEvents
