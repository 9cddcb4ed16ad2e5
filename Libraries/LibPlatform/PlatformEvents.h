#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire {

inline constexpr EventType platformUnreachable { 2000, "platform-unreachable", Severity::Warning };
inline constexpr EventType platformReachable { 2001, "platform-reachable", Severity::Info };
inline constexpr EventType platformAnswerMalformed { 2002, "platform-answer-malformed", Severity::Error };

/// The platform has come back from an older copy of its data.
inline constexpr EventType platformRestored { 2003, "platform-restored", Severity::Warning };
/// An answer without a usable epoch is not taken; the state before it stays in force.
inline constexpr EventType platformEpochInvalid { 2004, "platform-epoch-invalid", Severity::Error };

} // namespace Sapphire
