#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::DaemonEvents {

inline constexpr EventType started { 9001, "vm-started", Severity::Info };
inline constexpr EventType waitingForConfiguration { 9002, "waiting-for-configuration", Severity::Warning };
inline constexpr EventType stopping { 9003, "vm-stopping", Severity::Info };
inline constexpr EventType refusing { 9004, "vm-refuses-new-requests", Severity::Info };
inline constexpr EventType stopped { 9005, "vm-stopped", Severity::Info };
inline constexpr EventType requestsCut { 9006, "requests-cut-at-stop", Severity::Warning };
inline constexpr EventType dutyFailed { 9007, "duty-failed", Severity::Error };
inline constexpr EventType listUnavailable { 9008, "vm-list-unavailable", Severity::Warning };
inline constexpr EventType renewed { 9009, "vm-renewed-after-retirement", Severity::Warning };
inline constexpr EventType journalLeft { 9010, "claims-not-written-at-stop", Severity::Warning };

} // namespace Sapphire::DaemonEvents
