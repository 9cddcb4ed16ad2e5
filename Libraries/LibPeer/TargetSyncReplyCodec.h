#pragma once

#include <LibPeer/TargetSyncReply.h>

#include <Peer.pb.h>

#include <optional>

namespace Sapphire {

/// Writes the statement as messages of which each fits into a datagram that is not divided on its way.
std::vector<peer::TargetAnswer> encodeTargetSyncReply(const TargetSyncReply &reply, TimePoint now);

/// Returns nothing for a message that contradicts itself.
std::optional<TargetSyncReply> decodeTargetSyncReply(const peer::TargetAnswer &message, TimePoint now);

} // namespace Sapphire
