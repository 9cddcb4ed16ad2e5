#include <LibPeer/PeerSocket.h>

#include <Poco/Exception.h>

#include <array>

#include <sys/socket.h>

namespace Sapphire {

namespace {

constexpr std::size_t mostDatagramBytes = 65'536;
// Lets the loop handle other events during a burst of datagrams.
constexpr int mostDatagramsPerEvent = 64;

} // namespace

PeerSocket::PeerSocket(EventLoop &loop, const Poco::Net::DatagramSocket &socket, Receiver receiver)
    : m_loop(loop), m_socket(socket), m_receiver(std::move(receiver))
{
    m_loop.watch(m_socket.impl()->sockfd(), {}, *this);
}

PeerSocket::~PeerSocket()
{
    m_loop.unwatch(m_socket.impl()->sockfd());
}

Result<std::unique_ptr<PeerSocket>> PeerSocket::create(EventLoop &loop, const Poco::Net::SocketAddress &address,
                                                       Receiver receiver)
{
    try {
        Poco::Net::DatagramSocket socket(address, true);
        socket.setBlocking(false);
        return std::unique_ptr<PeerSocket>(new PeerSocket(loop, socket, std::move(receiver)));
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, "can't use " + address.toString() + ": " + exception.displayText());
    }
}

void PeerSocket::send(const Poco::Net::SocketAddress &address, const std::string &bytes)
{
    const ssize_t sent =
        ::sendto(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT, address.addr(), address.length());
    if (sent < 0) {
        ++m_refusedDatagrams;
    } else {
        m_sentBytes += static_cast<std::uint64_t>(sent);
    }
}

void PeerSocket::descriptorReady(const DescriptorEvents &)
{
    static std::array<char, mostDatagramBytes> buffer;
    for (int i = 0; i < mostDatagramsPerEvent; ++i) {
        sockaddr_storage sender {};
        socklen_t length = sizeof sender;
        const ssize_t count = ::recvfrom(m_socket.impl()->sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr *>(&sender), &length);
        if (count < 0) {
            return;
        }
        m_receiver(Poco::Net::SocketAddress(reinterpret_cast<const sockaddr *>(&sender), length),
                   { buffer.data(), static_cast<std::size_t>(count) });
    }
}

} // namespace Sapphire
