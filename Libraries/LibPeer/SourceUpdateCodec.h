#pragma once

#include <LibPeer/SourceUpdate.h>

#include <Peer.pb.h>

#include <optional>

namespace Sapphire {

void encodeSourceUpdate(const SourceUpdate &update, TimePoint now, peer::Reading &message);
/// Returns nothing for a subject that this release doesn't know.
std::optional<SourceUpdate> decodeSourceUpdate(const peer::Reading &message, TimePoint now);

} // namespace Sapphire
