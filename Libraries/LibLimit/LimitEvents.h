#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire {

inline constexpr EventType allotmentChanged { 2500, "allotment-changed", Severity::Info };
inline constexpr EventType allotmentUnreadable { 2501, "allotment-unreadable", Severity::Error };
inline constexpr EventType allotmentStoreLost { 2502, "allotment-store-lost", Severity::Warning };
inline constexpr EventType allotmentStoreBack { 2503, "allotment-store-back", Severity::Info };
inline constexpr EventType allotmentAnswerLost { 2504, "allotment-answer-lost", Severity::Warning };
inline constexpr EventType allotmentTakenOver { 2505, "allotment-taken-over", Severity::Info };
inline constexpr EventType allotmentReturned { 2506, "allotment-returned", Severity::Info };
inline constexpr EventType burstTooSmall { 2507, "burst-too-small", Severity::Warning };

} // namespace Sapphire
