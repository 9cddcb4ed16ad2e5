#pragma once

#include <LibPeer/Reading.h>
#include <LibPeer/TargetStatement.h>

#include <string_view>

namespace Sapphire {

/// The other VMs, as far as they help each other to know what lies on the platform.
class ReadingPeers
{
public:
    virtual ~ReadingPeers() = default;

    /// Tells the VMs of the own region what this one has read.
    virtual void tellReading(const Reading &reading) = 0;
    /// Tells VMs of the other regions, which pass it on, what this one has read.
    virtual void tellRelays(const Reading &reading, std::string_view list) = 0;
    /// Tells the VMs of the own region whether this VM can read a list of the platform.
    virtual void setReadable(ReadingSubject list, bool isReadable) = 0;
    /// Asks a VM for the targets that this one lacks.
    virtual void askForTargets(const VmId &vm, const ShortDigests &digests) = 0;
    /// Answers a VM that asked.
    virtual void sendTargets(const VmId &vm, const TargetStatement &statement) = 0;
};

} // namespace Sapphire
