#pragma once

#include <LibPeer/TargetSyncReply.h>

#include <Peer.pb.h>

#include <optional>

namespace Sapphire {

/// Encodes the reply as messages that each fit into a datagram without IP fragmentation.
std::vector<peer::TargetAnswer> encodeTargetSyncReply(const TargetSyncReply &reply, TimePoint now);

/// Returns nothing for an inconsistent message: an index that is out of range, a bad address or a target without slots.
std::optional<TargetSyncReply> decodeTargetSyncReply(const peer::TargetAnswer &message, TimePoint now);

} // namespace Sapphire
