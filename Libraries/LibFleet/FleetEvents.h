#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire {

inline constexpr EventType fleetServerStarted { 4000, "fleet-server-started", Severity::Info };
inline constexpr EventType fleetServerStopped { 4001, "fleet-server-stopped", Severity::Info };
inline constexpr EventType fleetMessageRejected { 4002, "fleet-message-rejected", Severity::Warning };
inline constexpr EventType fleetChannelReplaced { 4003, "fleet-channel-replaced", Severity::Warning };
inline constexpr EventType fleetSnapshotFetched { 4004, "fleet-snapshot-fetched", Severity::Info };
inline constexpr EventType fleetSnapshotFailed { 4005, "fleet-snapshot-failed", Severity::Warning };
inline constexpr EventType fleetSelfSuperseded { 4006, "fleet-self-superseded", Severity::Error };
inline constexpr EventType fleetForwardLimitReached { 4007, "fleet-forward-limit-reached", Severity::Warning };

} // namespace Sapphire
