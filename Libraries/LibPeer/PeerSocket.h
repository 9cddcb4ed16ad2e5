#pragma once

#include <LibNet/EventLoop.h>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Sapphire {

/// Sends and receives UDP datagrams, which may be lost, duplicated and reordered.
class PeerSocket final : private DescriptorListener
{
public:
    using Receiver = std::function<void(const Poco::Net::SocketAddress &sender, std::string_view bytes)>;

    /// Fails with Unavailable if the address can't be used.
    [[nodiscard]] static Result<std::unique_ptr<PeerSocket>>
    create(EventLoop &loop, const Poco::Net::SocketAddress &address, Receiver receiver);
    ~PeerSocket() override;

    /// Sends without blocking. A datagram that the kernel does not accept is lost.
    void send(const Poco::Net::SocketAddress &address, const std::string &bytes);
    /// Returns how many datagrams the kernel did not accept.
    std::uint64_t refusedDatagrams() const
    {
        return m_refusedDatagrams;
    }
    /// Returns how many bytes of datagrams the kernel has accepted.
    std::uint64_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    PeerSocket(EventLoop &loop, const Poco::Net::DatagramSocket &socket, Receiver receiver);

    void descriptorReady(const DescriptorEvents &events) override;

    EventLoop &m_loop;
    Poco::Net::DatagramSocket m_socket;
    Receiver m_receiver;
    std::uint64_t m_refusedDatagrams { 0 };
    std::uint64_t m_sentBytes { 0 };
};

} // namespace Sapphire
