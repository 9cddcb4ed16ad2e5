#include <StandIns/Platform/PlatformServer.h>

#include <StandIns/Platform/OpenConnections.h>
#include <StandIns/Platform/PlatformHandler.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <thread>

namespace Sapphire {

namespace {

constexpr int idleThreads = 4;
constexpr int acceptBacklog = 1024;
constexpr int keepAliveSeconds = 60;

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(PlatformServerParts &parts) : m_parts(parts)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new PlatformHandler(m_parts);
    }

private:
    PlatformServerParts &m_parts;
};

Poco::Net::HTTPServerParams::Ptr parameters(int threads)
{
    Poco::Net::HTTPServerParams::Ptr result = new Poco::Net::HTTPServerParams;
    result->setMaxThreads(threads);
    result->setMaxQueued(acceptBacklog);
    result->setKeepAlive(true);
    result->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    return result;
}

} // namespace

struct PlatformServer::Http
{
    Http(PlatformServerParts &parts, const Poco::Net::ServerSocket &socket,
         const Poco::Net::HTTPServerParams::Ptr &settings)
        : pool(idleThreads, settings->getMaxThreads())
        , server(new TrackedConnectionFactory(connections, settings, new HandlerFactory(parts)), pool, socket, settings)
    {
    }

    OpenConnections connections;
    Poco::ThreadPool pool;
    Poco::Net::TCPServer server;
};

PlatformServer::PlatformServer() = default;

Result<std::unique_ptr<PlatformServer>> PlatformServer::create(const PlatformServerSettings &settings)
{
    std::unique_ptr<PlatformServer> server(new PlatformServer);
    server->m_parts.readCeiling = settings.readCeiling;
    server->m_parts.writeCeiling = settings.writeCeiling;
    try {
        const Poco::Net::SocketAddress address(settings.address);
        Poco::Net::ServerSocket socket;
        // Binds without SO_REUSEPORT, which POCO's shorter overload sets: it lets two processes listen on one port.
        socket.bind(address, true, false);
        socket.listen(acceptBacklog);
        server->m_http = std::make_unique<Http>(server->m_parts, socket, parameters(settings.threads));
        server->m_http->server.start();
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::InvalidArgument,
                    "cannot listen on \"" + settings.address + "\": " + exception.displayText());
    }
    return server;
}

PlatformServer::~PlatformServer()
{
    if (!m_http) {
        return;
    }
    m_parts.faults.stop();
    // Ends the wait for connections at once; by itself it checks for the stop only every 250 ms.
    m_http->server.socket().impl()->shutdown();
    m_http->server.stop();
    m_http->connections.stop();
    while (m_http->server.currentThreads() > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

std::string PlatformServer::address() const
{
    return m_http->server.socket().address().toString();
}

int PlatformServer::acceptedConnections() const
{
    return m_http->server.totalConnections();
}

PlatformServerParts &PlatformServer::parts()
{
    return m_parts;
}

} // namespace Sapphire
