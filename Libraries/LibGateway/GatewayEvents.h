#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::GatewayEvents {

inline constexpr EventType requestAnswered { 10000, "request-answered", Severity::Info };
inline constexpr EventType requestRefused { 10001, "request-refused", Severity::Info };
inline constexpr EventType requestAbandoned { 10002, "request-abandoned", Severity::Info };
inline constexpr EventType attemptFailed { 10003, "attempt-failed", Severity::Info };
inline constexpr EventType answerAborted { 10004, "answer-aborted", Severity::Warning };
inline constexpr EventType refusedByRules { 10005, "refused-by-rules", Severity::Info };
inline constexpr EventType targetAdded { 10010, "target-added", Severity::Info };
inline constexpr EventType targetChanged { 10011, "target-changed", Severity::Info };
inline constexpr EventType targetRemoved { 10012, "target-removed", Severity::Info };
inline constexpr EventType targetOut { 10013, "target-out", Severity::Warning };
inline constexpr EventType targetBack { 10014, "target-back", Severity::Info };
inline constexpr EventType zoneEvacuated { 10015, "zone-evacuated", Severity::Info };
inline constexpr EventType zoneReturned { 10016, "zone-returned", Severity::Info };
inline constexpr EventType crashSuspected { 10017, "crash-suspected", Severity::Warning };
inline constexpr EventType targetLostRequests { 10018, "target-lost-requests", Severity::Warning };
inline constexpr EventType targetLimited { 10019, "target-limited", Severity::Info };
inline constexpr EventType rulesInForce { 10020, "rules-in-force", Severity::Info };
inline constexpr EventType targetLeaving { 10021, "target-leaving", Severity::Info };
inline constexpr EventType targetPaused { 10022, "target-paused", Severity::Info };
inline constexpr EventType targetPauseEnded { 10023, "target-pause-ended", Severity::Info };
inline constexpr EventType gatewayStarted { 10030, "gateway-started", Severity::Info };
inline constexpr EventType gatewayLeaving { 10031, "gateway-leaving", Severity::Info };
inline constexpr EventType gatewayStopped { 10032, "gateway-stopped", Severity::Info };

} // namespace Sapphire::GatewayEvents
