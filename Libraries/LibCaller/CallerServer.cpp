#include <LibCaller/CallerServer.h>

#include <LibCaller/CallerEvents.h>
#include <LibCore/BootClock.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

namespace Sapphire {

namespace {

// Bounds a single read or write; the connection guard bounds their total time.
constexpr int socketTimeoutSeconds = 10;
constexpr int backlog = 256;
constexpr int mostRequestsPerConnection = 0; // No limit.
// POCO closes accepted connections beyond this number that no thread has taken yet, even while threads are idle. The
// queue must hold all callers that connect at the same moment.
constexpr int mostQueuedConnections = 64;

class Handler final : public Poco::Net::HTTPRequestHandler
{
public:
    Handler(const CallerEndpoint &endpoint, ConnectionGuard::Watch &watch, Milliseconds headTimeout, const Clock &clock)
        : m_endpoint(endpoint), m_watch(watch), m_headTimeout(headTimeout), m_clock(clock)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        try {
            m_endpoint.answer(request, response, static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket(),
                              m_watch);
        } catch (const Poco::Net::NetException &) {
            // The caller closed the connection, so no answer can be sent.
            response.setKeepAlive(false);
        } catch (const std::exception &exception) {
            logEvent(CallerEvents::requestFailed, { { "what", exception.what() } });
            throw;
        }
        m_watch.setDeadline(Deadline::after(m_clock.now(), m_headTimeout));
    }

private:
    const CallerEndpoint &m_endpoint;
    ConnectionGuard::Watch &m_watch;
    Milliseconds m_headTimeout;
    const Clock &m_clock;
};

/// Makes the handlers of one connection.
class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(const CallerEndpoint &endpoint, ConnectionGuard::Watch &watch, Milliseconds headTimeout)
        : m_endpoint(endpoint), m_watch(watch), m_headTimeout(headTimeout)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(m_endpoint, m_watch, m_headTimeout, m_clock);
    }

private:
    const CallerEndpoint &m_endpoint;
    ConnectionGuard::Watch &m_watch;
    Milliseconds m_headTimeout;
    BootClock m_clock;
};

class Connection final : public Poco::Net::TCPServerConnection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, Poco::Net::HTTPServerParams::Ptr parameters,
               const CallerEndpoint &endpoint, ConnectionGuard &guard, Milliseconds headTimeout)
        : TCPServerConnection(socket)
        , m_parameters(std::move(parameters))
        , m_endpoint(endpoint)
        , m_guard(guard)
        , m_headTimeout(headTimeout)
    {
    }

    void run() override
    {
        ConnectionGuard::Watch watch(m_guard, socket().impl()->sockfd(),
                                     Deadline::after(BootClock().now(), m_headTimeout));
        Poco::Net::HTTPServerConnection connection(socket(), m_parameters,
                                                   new HandlerFactory(m_endpoint, watch, m_headTimeout));
        connection.run();
    }

private:
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    const CallerEndpoint &m_endpoint;
    ConnectionGuard &m_guard;
    Milliseconds m_headTimeout;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(Poco::Net::HTTPServerParams::Ptr parameters, const CallerEndpoint &endpoint,
                      ConnectionGuard &guard, Milliseconds headTimeout)
        : m_parameters(std::move(parameters)), m_endpoint(endpoint), m_guard(guard), m_headTimeout(headTimeout)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new Connection(socket, m_parameters, m_endpoint, m_guard, m_headTimeout);
    }

private:
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    const CallerEndpoint &m_endpoint;
    ConnectionGuard &m_guard;
    Milliseconds m_headTimeout;
};

} // namespace

CallerServer::CallerServer(std::unique_ptr<Poco::ThreadPool> threads, std::unique_ptr<Poco::Net::TCPServer> server)
    : m_threads(std::move(threads)), m_server(std::move(server))
{
}

CallerServer::~CallerServer()
{
    m_server->stop();
}

Result<std::unique_ptr<CallerServer>> CallerServer::create(const Settings &settings, const CallerEndpoint &endpoint,
                                                           ConnectionGuard &guard)
{
    try {
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(settings.mostConnections);
        parameters->setMaxQueued(mostQueuedConnections);
        parameters->setKeepAlive(true);
        parameters->setMaxKeepAliveRequests(mostRequestsPerConnection);
        parameters->setTimeout(Poco::Timespan(socketTimeoutSeconds, 0));
        parameters->setKeepAliveTimeout(Poco::Timespan(settings.headTimeout.count() * 1000));
        Poco::Net::ServerSocket socket;
        // Without SO_REUSEPORT, so that binding the port fails while an earlier process of this VM still serves.
        socket.bind(Poco::Net::SocketAddress(settings.address, settings.port), true, false);
        socket.listen(backlog);
        const Poco::Net::TCPServerConnectionFactory::Ptr factory(
            new ConnectionFactory(parameters, endpoint, guard, settings.headTimeout));
        auto threads = std::make_unique<Poco::ThreadPool>(2, settings.mostConnections + 1);
        auto server = std::make_unique<Poco::Net::TCPServer>(factory, *threads, socket, parameters);
        server->start();
        return std::unique_ptr<CallerServer>(new CallerServer(std::move(threads), std::move(server)));
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable,
                    "can't listen for callers at " + settings.address + ":" + std::to_string(settings.port) + ": "
                        + exception.displayText());
    }
}

std::uint16_t CallerServer::port() const
{
    return m_server->port();
}

void CallerServer::stop()
{
    m_server->stop();
}

} // namespace Sapphire
