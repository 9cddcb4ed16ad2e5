#include <StandIns/Platform/OpenConnections.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerConnection.h>

#include <utility>

namespace Sapphire {

namespace {

class TrackedConnection final : public Poco::Net::HTTPServerConnection
{
public:
    TrackedConnection(OpenConnections &connections, const Poco::Net::StreamSocket &socket,
                      const Poco::Net::HTTPServerParams::Ptr &parameters,
                      const Poco::Net::HTTPRequestHandlerFactory::Ptr &handlers)
        : Poco::Net::HTTPServerConnection(socket, parameters, handlers), m_connections(connections), m_socket(socket)
    {
        m_connections.add(m_socket.impl());
    }
    ~TrackedConnection() override
    {
        m_connections.remove(m_socket.impl());
    }

private:
    OpenConnections &m_connections;
    Poco::Net::StreamSocket m_socket;
};

void shutDown(Poco::Net::SocketImpl *socket)
{
    try {
        socket->shutdown();
    } catch (const Poco::Exception &) {
        // The peer or the handler has closed it already.
    }
}

} // namespace

void OpenConnections::add(Poco::Net::SocketImpl *socket)
{
    const std::lock_guard guard(m_mutex);
    m_sockets.insert(socket);
    if (m_isStopping) {
        shutDown(socket);
    }
}

void OpenConnections::remove(Poco::Net::SocketImpl *socket)
{
    const std::lock_guard guard(m_mutex);
    m_sockets.erase(socket);
}

void OpenConnections::stop()
{
    const std::lock_guard guard(m_mutex);
    m_isStopping = true;
    for (Poco::Net::SocketImpl *socket : m_sockets) {
        shutDown(socket);
    }
}

TrackedConnectionFactory::TrackedConnectionFactory(OpenConnections &connections,
                                                   Poco::Net::HTTPServerParams::Ptr parameters,
                                                   Poco::Net::HTTPRequestHandlerFactory::Ptr handlers)
    : m_connections(connections), m_parameters(std::move(parameters)), m_handlers(std::move(handlers))
{
}

Poco::Net::TCPServerConnection *TrackedConnectionFactory::createConnection(const Poco::Net::StreamSocket &socket)
{
    return new TrackedConnection(m_connections, socket, m_parameters, m_handlers);
}

} // namespace Sapphire
