#pragma once

#include <LibCore/Deadline.h>

#include <optional>

namespace Sapphire {

/// What the kernel knows of the output of a TCP connection.
struct TcpProgress
{
    bool hasUnacknowledged { false }; ///< Bytes are on their way, or lost.
    bool hasUnsent { false }; ///< Bytes wait in the kernel.
    int unansweredProbes { 0 }; ///< Window and keep-alive probes since the last acknowledgement.
    Milliseconds sinceAcknowledgement { 0 };

    /// Whether output waits only because the peer has no room for it: its program doesn't read.
    bool isBlockedByPeer() const
    {
        return hasUnsent && !hasUnacknowledged;
    }
    bool isAllAcknowledged() const
    {
        return !hasUnsent && !hasUnacknowledged;
    }
    /// Whether a peer without room has also stopped to answer the kernel's probes, and for longer than the limit.
    bool isPeerSilent(Milliseconds limit) const;
};

/// Returns nothing if the system doesn't tell.
std::optional<TcpProgress> tcpProgressOf(int descriptor);

} // namespace Sapphire
