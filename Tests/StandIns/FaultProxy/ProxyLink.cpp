#include <StandIns/FaultProxy/ProxyLink.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

constexpr int backlog = 1024;
constexpr std::size_t largestWrite = std::size_t { 256 } * 1024;
// Writes of a hundredth of a second's bytes keep the flow even; writes below a packet's size would cost too much.
constexpr std::uint64_t writesPerSecond = 100;
constexpr std::size_t smallestWrite = 1024;
constexpr double microsecondsPerSecond = 1'000'000;

} // namespace

ProxyLink::ProxyLink(const LinkSettings &linkSettings)
    : settings(linkSettings), listenAddress(linkSettings.listen), serverAddress(linkSettings.connect)
{
    counters.name = linkSettings.name;
}

Result<void> ProxyLink::openListener()
{
    FileHandle socket(::socket(listenAddress.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(socket.number(), listenAddress.addr(), listenAddress.length()) != 0
        || ::listen(socket.number(), backlog) != 0) {
        return fail(ErrorCode::Unavailable,
                    "link " + settings.name + " cannot listen on " + settings.listen + ": " + std::strerror(errno));
    }
    listener = std::move(socket);
    return {};
}

FileHandle ProxyLink::startConnecting() const
{
    FileHandle socket(::socket(serverAddress.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket.number(), serverAddress.addr(), serverAddress.length()) != 0 && errno != EINPROGRESS) {
        socket.close();
    }
    return socket;
}

void ProxyLink::setFaults(const LinkFaults &newFaults)
{
    faults = newFaults;
    m_busyUntil = {};
}

TimePoint ProxyLink::busyUntil(Direction direction) const
{
    return faults.bytesPerSecond == 0 ? TimePoint() : m_busyUntil[direction];
}

std::size_t ProxyLink::maxWriteSize() const
{
    if (faults.bytesPerSecond == 0) {
        return largestWrite;
    }
    return std::clamp<std::size_t>(faults.bytesPerSecond / writesPerSecond, smallestWrite, largestWrite);
}

void ProxyLink::useBandwidth(Direction direction, std::size_t bytes, TimePoint now)
{
    if (faults.bytesPerSecond == 0) {
        return;
    }
    const double seconds = static_cast<double>(bytes) / static_cast<double>(faults.bytesPerSecond);
    const Microseconds interval(static_cast<Microseconds::rep>(seconds * microsecondsPerSecond));
    m_busyUntil[direction] = std::max(now, m_busyUntil[direction]) + interval;
}

} // namespace Sapphire
