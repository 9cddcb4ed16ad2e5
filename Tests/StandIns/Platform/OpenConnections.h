#pragma once

#include <Poco/Net/HTTPServerConnectionFactory.h>
#include <Poco/Net/SocketImpl.h>

#include <mutex>
#include <set>

namespace Sapphire {

/// The sockets of a server's open connections, so that the server can shut them down when it stops. POCO's function for
/// it, HTTPServer::stopAll(), shares delegates between threads by reference counts that ThreadSanitizer cannot see in
/// the packaged library, and so is reported as a data race.
class OpenConnections
{
public:
    void add(Poco::Net::SocketImpl *socket);
    void remove(Poco::Net::SocketImpl *socket);
    /// Shuts down all sockets, and each that is added later.
    void stop();

private:
    std::mutex m_mutex;
    std::set<Poco::Net::SocketImpl *> m_sockets;
    bool m_isStopping { false };
};

/// Creates HTTP connections that OpenConnections tracks while they are open.
class TrackedConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    TrackedConnectionFactory(OpenConnections &connections, Poco::Net::HTTPServerParams::Ptr parameters,
                             Poco::Net::HTTPRequestHandlerFactory::Ptr handlers);

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override;

private:
    OpenConnections &m_connections;
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_handlers;
};

} // namespace Sapphire
