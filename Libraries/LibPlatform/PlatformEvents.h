#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire {

inline constexpr EventType platformUnreachable { 2000, "platform-unreachable", Severity::Warning };
inline constexpr EventType platformReachable { 2001, "platform-reachable", Severity::Info };
inline constexpr EventType platformAnswerMalformed { 2002, "platform-answer-malformed", Severity::Error };

} // namespace Sapphire
