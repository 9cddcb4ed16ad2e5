#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::ConfigurationEvents {

inline constexpr EventType started { 5000, "configuration-started", Severity::Info };
inline constexpr EventType storeUnreachable { 5001, "configuration-store-unreachable", Severity::Warning };
inline constexpr EventType storeReachable { 5002, "configuration-store-reachable", Severity::Info };
inline constexpr EventType entrySkipped { 5003, "configuration-entry-skipped", Severity::Error };
inline constexpr EventType rowUnreadable { 5004, "configuration-row-unreadable", Severity::Error };
inline constexpr EventType changeRecorded { 5005, "configuration-change-recorded", Severity::Info };
inline constexpr EventType changeUncertain { 5006, "configuration-change-uncertain", Severity::Warning };
inline constexpr EventType withdrawalPending { 5007, "key-withdrawal-pending", Severity::Warning };
inline constexpr EventType withdrawalRecorded { 5008, "key-withdrawal-recorded", Severity::Info };
inline constexpr EventType vmRetired { 5009, "vm-retired", Severity::Info };
inline constexpr EventType snapshotFailed { 5010, "configuration-snapshot-failed", Severity::Warning };
inline constexpr EventType snapshotUnusable { 5011, "configuration-snapshot-unusable", Severity::Error };
inline constexpr EventType freshnessLost { 5012, "configuration-freshness-lost", Severity::Warning };
inline constexpr EventType freshnessRegained { 5013, "configuration-freshness-regained", Severity::Info };
inline constexpr EventType selfRetired { 5014, "own-process-retired", Severity::Error };

} // namespace Sapphire::ConfigurationEvents
