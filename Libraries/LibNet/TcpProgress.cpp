#include <LibNet/TcpProgress.h>

// Not netinet/tcp.h, whose tcp_info lacks the unsent bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace Sapphire {

namespace {

// A single probe or its answer may get lost.
constexpr int lostProbes = 2;

} // namespace

bool TcpProgress::isPeerSilent(Milliseconds limit) const
{
    return isBlockedByPeer() && unansweredProbes >= lostProbes && sinceAcknowledgement > limit;
}

std::optional<TcpProgress> tcpProgressOf(int descriptor)
{
    tcp_info info {};
    socklen_t length = sizeof info;
    const bool isKnown = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
        && length >= offsetof(tcp_info, tcpi_notsent_bytes) + sizeof info.tcpi_notsent_bytes;
    if (!isKnown) {
        return std::nullopt;
    }
    TcpProgress progress;
    progress.hasUnacknowledged = info.tcpi_unacked > 0;
    progress.hasUnsent = info.tcpi_notsent_bytes > 0;
    progress.unansweredProbes = info.tcpi_probes;
    progress.sinceAcknowledgement = Milliseconds(info.tcpi_last_ack_recv);
    return progress;
}

} // namespace Sapphire
