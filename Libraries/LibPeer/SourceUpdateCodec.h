#pragma once

#include <LibPeer/SourceUpdate.h>

#include <Peer.pb.h>

#include <optional>

namespace Sapphire {

void encodeSourceUpdate(const SourceUpdate &update, TimePoint now, peer::Reading &message);
/// Returns nothing for a kind of source that this release doesn't know. Sets neither the origin nor the document.
std::optional<SourceUpdate> decodeSourceUpdate(const peer::Reading &message, TimePoint now);

} // namespace Sapphire
