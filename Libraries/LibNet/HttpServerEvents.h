#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::HttpServerEvents {

inline constexpr EventType requestMalformed { 14000, "request-malformed", Severity::Info };
inline constexpr EventType answerNotRead { 14001, "answer-not-read", Severity::Info };

} // namespace Sapphire::HttpServerEvents
