#pragma once

#include <LibPeer/TargetSyncReply.h>

#include <Peer.pb.h>

#include <optional>

namespace Sapphire {

/// Writes the statement as messages of which each fits into a datagram that is not divided on its way.
std::vector<peer::TargetAnswer> encodeTargetStatement(const TargetSyncReply &statement, TimePoint now);

/// Returns nothing for a message that contradicts itself.
std::optional<TargetSyncReply> decodeTargetStatement(const peer::TargetAnswer &message, TimePoint now);

} // namespace Sapphire
