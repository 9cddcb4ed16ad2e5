#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::OperatorEvents {

inline constexpr EventType command { 8001, "operator-command", Severity::Info };

}
