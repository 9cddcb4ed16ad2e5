#pragma once

#include <Poco/Net/HTTPServerConnectionFactory.h>
#include <Poco/Net/SocketImpl.h>

#include <mutex>
#include <set>

namespace Sapphire {

/// The sockets of a server's open connections, so that the server can end them when it stops. POCO's own way,
/// HTTPServer::stopAll(), shares delegates between threads by counts that ThreadSanitizer cannot see in the packaged
/// library, and so is reported as a race.
class OpenConnections
{
public:
    void add(Poco::Net::SocketImpl *socket);
    void remove(Poco::Net::SocketImpl *socket);
    /// Shuts down all sockets, and from now on each that is added.
    void stop();

private:
    std::mutex m_mutex;
    std::set<Poco::Net::SocketImpl *> m_sockets;
    bool m_isStopping { false };
};

/// Makes connections that are listed in OpenConnections as long as they are open.
class ListedConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    ListedConnectionFactory(OpenConnections &connections, Poco::Net::HTTPServerParams::Ptr parameters,
                            Poco::Net::HTTPRequestHandlerFactory::Ptr handlers);

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override;

private:
    OpenConnections &m_connections;
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_handlers;
};

} // namespace Sapphire
