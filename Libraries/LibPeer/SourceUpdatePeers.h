#pragma once

#include <LibPeer/SourceUpdate.h>
#include <LibPeer/TargetSyncReply.h>

#include <string_view>

namespace Sapphire {

/// The other VMs, as far as they help each other to know what lies on the platform.
class SourceUpdatePeers
{
public:
    virtual ~SourceUpdatePeers() = default;

    /// Tells the VMs of the own region what this one has read.
    virtual void broadcastUpdate(const SourceUpdate &update) = 0;
    /// Tells VMs of the other regions, which pass it on, what this one has read.
    virtual void sendToRelays(const SourceUpdate &update, std::string_view list) = 0;
    /// Tells the VMs of the own region whether this VM can read a list of the platform.
    virtual void setReadable(SourceKind list, bool isReadable) = 0;
    /// Asks a VM for the targets that this one lacks.
    virtual void requestTargetSync(const VmId &vm, const ShortDigests &digests) = 0;
    /// Answers a VM that asked.
    virtual void sendTargetSyncReply(const VmId &vm, const TargetSyncReply &reply) = 0;
};

} // namespace Sapphire
