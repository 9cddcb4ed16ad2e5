#pragma once

#include <LibPeer/SourceUpdate.h>
#include <LibPeer/TargetSyncReply.h>

#include <string_view>

namespace Sapphire {

/// Sends source updates and target sync messages to other VMs.
class SourceUpdatePeers
{
public:
    virtual ~SourceUpdatePeers() = default;

    /// Sends an update, without its document, to the VMs of the own region.
    virtual void broadcastUpdate(const SourceUpdate &update) = 0;
    /// Sends an update with its document to the VMs of the own region, which forward it to each other.
    virtual void broadcastDocument(const SourceUpdate &update) = 0;
    /// Asks a VM for its rules if their digest differs from the given one.
    virtual void requestRules(const VmId &vm, std::uint64_t digest) = 0;
    /// Replies to the rules request of a VM.
    virtual void sendRules(const VmId &vm, const SourceUpdate &update) = 0;
    /// Sends an update to the other regions' relays for the named source, which forward it there.
    virtual void sendToRelays(const SourceUpdate &update, std::string_view sourceName) = 0;
    /// Sets whether this VM can read a source. A change is broadcast to the own region.
    virtual void setReadable(SourceKind kind, bool isReadable) = 0;
    /// Asks a VM for the buckets of its target list that differ from those with the given digests.
    virtual void requestTargetSync(const VmId &vm, const ShortDigests &digests) = 0;
    /// Replies to the target sync request of a VM.
    virtual void sendTargetSyncReply(const VmId &vm, const TargetSyncReply &reply) = 0;
};

} // namespace Sapphire
