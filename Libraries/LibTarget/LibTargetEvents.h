#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::TargetEvents {

inline constexpr EventType targetEjected { 3000, "target-ejected", Severity::Warning };
inline constexpr EventType targetDied { 3001, "target-died", Severity::Error };
inline constexpr EventType targetHealthChanged { 3002, "target-health-changed", Severity::Info };
inline constexpr EventType targetAddressInvalid { 3003, "target-address-invalid", Severity::Error };
inline constexpr EventType answerCut { 3004, "answer-cut", Severity::Warning };
inline constexpr EventType pauseRequested { 3005, "target-pause-requested", Severity::Info };

} // namespace Sapphire::TargetEvents
