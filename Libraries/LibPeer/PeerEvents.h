#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::PeerEvents {

inline constexpr EventType peerSilent { 13000, "peer-silent", Severity::Warning };
inline constexpr EventType peerHeard { 13001, "peer-heard", Severity::Info };
inline constexpr EventType peerLeaving { 13002, "peer-leaving", Severity::Info };
inline constexpr EventType datagramRejected { 13003, "datagram-rejected", Severity::Warning };
/// Source updates that arrived while this VM was paused; they are not forwarded to its availability zone.
inline constexpr EventType notPassedOn { 13004, "reading-not-passed-on", Severity::Info };
/// This VM has sent a document to others.
inline constexpr EventType documentSent { 13005, "document-sent", Severity::Info };
/// Parts of a document have arrived, but the document can't be used.
inline constexpr EventType documentLost { 13006, "document-lost", Severity::Warning };

} // namespace Sapphire::PeerEvents
