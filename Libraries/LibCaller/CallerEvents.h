#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::CallerEvents {

inline constexpr EventType answerCut { 7001, "answer-to-caller-cut", Severity::Warning };
inline constexpr EventType requestFailed { 7002, "request-failed-internally", Severity::Error };

} // namespace Sapphire::CallerEvents
