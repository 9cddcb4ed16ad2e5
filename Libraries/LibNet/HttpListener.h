#pragma once

#include <LibNet/HttpServerConnection.h>

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <vector>

namespace Sapphire {

/// Accepts HTTP connections at one address and holds them until they end.
class HttpListener final : private DescriptorListener
{
public:
    /// Fails with Unavailable if the address can't be used.
    [[nodiscard]] static Result<std::unique_ptr<HttpListener>> create(EventLoop &loop,
                                                                      const Poco::Net::SocketAddress &address,
                                                                      HttpHandlerFactory &factory,
                                                                      const HttpServerPolicy &policy);
    ~HttpListener() override;

    /// Returns the bound address, with the actual port if port 0 was requested.
    Poco::Net::SocketAddress address() const
    {
        return m_socket.address();
    }
    /// Closes the listening socket. Open connections go on.
    void stopAccepting();

private:
    HttpListener(EventLoop &loop, const Poco::Net::ServerSocket &socket, HttpHandlerFactory &factory,
                 const HttpServerPolicy &policy);

    void descriptorReady(const DescriptorEvents &events) override;
    void pauseIfExhausted(int error);
    void dropEnded();

    EventLoop &m_loop;
    Poco::Net::ServerSocket m_socket;
    HttpHandlerFactory &m_factory;
    const HttpServerPolicy &m_policy;
    std::vector<RefPointer<HttpServerConnection>> m_connections;
    Timer m_sweep;
    bool m_isAccepting { true };
    bool m_isPaused { false }; ///< Accepting is paused, since the system ran out of descriptors or memory.
};

} // namespace Sapphire
