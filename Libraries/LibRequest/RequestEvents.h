#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::RequestEvents {

inline constexpr EventType journalFull { 6001, "claim-journal-full", Severity::Warning };
inline constexpr EventType journalDelayed { 6002, "claim-journal-delayed", Severity::Warning };
inline constexpr EventType claimOverwritten { 6003, "claim-held-by-another-process", Severity::Error };

} // namespace Sapphire::RequestEvents
