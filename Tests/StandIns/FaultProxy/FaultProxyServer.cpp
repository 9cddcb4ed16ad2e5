#include <StandIns/FaultProxy/FaultProxyServer.h>

#include <LibCore/EventLog.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <thread>

namespace Sapphire {

namespace {

constexpr int controlThreads = 8;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

struct ControlReply
{
    int status { statusOk };
    std::string body { "{}" };
};

std::string countersText(const std::vector<LinkCounters> &links)
{
    std::string text = "{\"links\":[";
    for (const LinkCounters &link : links) {
        if (text.back() == '}') {
            text += ',';
        }
        text += "{\"name\":" + quoteJson(link.name) + ",\"accepted\":" + std::to_string(link.accepted)
            + ",\"open\":" + std::to_string(link.open) + ",\"bytesToServer\":" + std::to_string(link.bytes.toServer)
            + ",\"bytesToClient\":" + std::to_string(link.bytes.toClient) + "}";
    }
    return text + "]}";
}

class ControlHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit ControlHandler(ProxyEngine &engine) : m_engine(engine)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const ControlReply reply = answer(request.getMethod() + " " + request.getURI(), body);
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
        response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
        response.setContentType("application/json");
        response.sendBuffer(reply.body.data(), reply.body.size());
    }

private:
    ControlReply answer(const std::string &request, const std::string &body)
    {
        if (request == "GET /control/links") {
            return { statusOk, countersText(m_engine.counters()) };
        }
        if (request != "POST /control/links" && request != "POST /control/faults") {
            return { statusNotFound, "{\"error\":\"unknown control endpoint\"}" };
        }
        const Outcome<void> outcome = capture([&] {
            return request == "POST /control/links" ? addLinks(body) : applyFaults(body);
        });
        if (outcome) {
            return {};
        }
        const int status = outcome.error().code == ErrorCode::NotFound ? statusNotFound : statusBadRequest;
        return { status, "{\"error\":" + quoteJson(outcome.error().message) + "}" };
    }

    Result<void> addLinks(const std::string &body)
    {
        BOOST_LEAF_AUTO(links, parseLinks(body));
        return m_engine.addLinks(links);
    }

    Result<void> applyFaults(const std::string &body)
    {
        BOOST_LEAF_AUTO(command, parseFaultCommand(body));
        return m_engine.apply(command);
    }

    ProxyEngine &m_engine;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(ProxyEngine &engine) : m_engine(engine)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new ControlHandler(m_engine);
    }

private:
    ProxyEngine &m_engine;
};

} // namespace

struct FaultProxyServer::Http
{
    Http(ProxyEngine &engine, const Poco::Net::ServerSocket &socket)
        : pool(2, controlThreads), server(new HandlerFactory(engine), pool, socket, new Poco::Net::HTTPServerParams)
    {
    }

    Poco::ThreadPool pool;
    Poco::Net::HTTPServer server;
};

FaultProxyServer::FaultProxyServer() = default;

Result<std::unique_ptr<FaultProxyServer>> FaultProxyServer::create(const std::string &controlAddress, int workers)
{
    std::unique_ptr<FaultProxyServer> proxy(new FaultProxyServer);
    BOOST_LEAF_ASSIGN(proxy->m_engine, ProxyEngine::create(workers));
    try {
        Poco::Net::ServerSocket socket;
        // Binds without SO_REUSEPORT, which POCO's shorter overload sets: it lets two processes listen on one port.
        socket.bind(Poco::Net::SocketAddress(controlAddress), true, false);
        socket.listen();
        proxy->m_http = std::make_unique<Http>(*proxy->m_engine, socket);
        proxy->m_http->server.start();
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::InvalidArgument,
                    "cannot listen on \"" + controlAddress + "\": " + exception.displayText());
    }
    return proxy;
}

FaultProxyServer::~FaultProxyServer()
{
    if (!m_http) {
        return;
    }
    // Ends the wait for connections at once; by itself it checks for the stop only every 250 ms.
    m_http->server.socket().impl()->shutdown();
    m_http->server.stopAll(true);
    while (m_http->server.currentThreads() > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

std::string FaultProxyServer::controlAddress() const
{
    return m_http->server.socket().address().toString();
}

ProxyEngine &FaultProxyServer::engine()
{
    return *m_engine;
}

} // namespace Sapphire
