#pragma once

#include <LibPeer/SourceUpdate.h>

#include <Peer.pb.h>

#include <optional>

namespace Sapphire {

void encodeReading(const Reading &reading, TimePoint now, peer::Reading &message);
/// Returns nothing for a subject that this release doesn't know.
std::optional<Reading> decodeReading(const peer::Reading &message, TimePoint now);

} // namespace Sapphire
