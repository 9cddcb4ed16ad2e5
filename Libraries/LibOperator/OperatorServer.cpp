#include <LibOperator/OperatorServer.h>

#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>
#include <LibCore/SettingsReader.h>
#include <LibOperator/OperatorEvents.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

namespace Sapphire {

namespace {

using Poco::Net::HTTPResponse;

constexpr int mostThreads = 8;
constexpr int mostWaiting = 32;
constexpr int backlog = 64;
constexpr int socketTimeoutSeconds = 10;
constexpr std::size_t mostBodyBytes = 65'536;
constexpr Milliseconds longestWait { 60'000 };
constexpr Milliseconds defaultWait { 14'000 };

class Handler final : public Poco::Net::HTTPRequestHandler
{
public:
    Handler(const OperatorServer::Settings &settings, const OperatorServer::Parts &parts)
        : m_settings(settings), m_parts(parts)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const std::string &path = request.getURI();
        if (path == "/metrics") {
            send(response, HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", m_parts.metrics.prometheusText());
        } else if (path == "/health") {
            const OperatorServer::Health health = m_parts.health();
            send(response, health.isServing ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                 "application/json", "{\"status\":" + quoteJson(health.detail) + "}");
        } else if (path == "/v1/commands" && request.getMethod() == "POST") {
            answerCommand(request, response);
        } else {
            send(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain",
                 "use POST /v1/commands, GET /metrics or GET /health\n");
        }
    }

private:
    static void send(Poco::Net::HTTPServerResponse &response, HTTPResponse::HTTPStatus status, const std::string &type,
                     const std::string &body)
    {
        response.setStatusAndReason(status);
        response.setContentType(type);
        response.sendBuffer(body.data(), body.size());
    }

    static std::string readBody(Poco::Net::HTTPServerRequest &request)
    {
        std::string body(mostBodyBytes, '\0');
        request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
        body.resize(static_cast<std::size_t>(request.stream().gcount()));
        return body;
    }

    void answerCommand(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        if (!constantTimeEquals(request.get("Authorization", ""), "Bearer " + m_settings.token)) {
            response.setKeepAlive(false);
            send(response, HTTPResponse::HTTP_UNAUTHORIZED, "text/plain",
                 "an Authorization header with the operator token is required\n");
            return;
        }
        const std::string body = readBody(request);
        std::string text;
        StatementContext context;
        const Outcome<void> read = capture([&]() -> Result<void> {
            BOOST_LEAF_AUTO(reader, SettingsReader::create(body));
            text = reader.requiredText("text");
            context.commandId = CommandId(reader.requiredText("commandId"));
            context.operatorId = OperatorId(reader.requiredText("operator"));
            context.deadline =
                Deadline::after(m_parts.clock.now(),
                                reader.milliseconds("waitMilliseconds", Milliseconds(1), longestWait, defaultWait));
            reader.rejectUnknownMembers();
            return reader.finish();
        });
        if (!read) {
            response.setKeepAlive(false);
            send(response, HTTPResponse::HTTP_BAD_REQUEST, "text/plain", read.error().message + "\n");
            return;
        }
        const OperatorAnswer answer = m_parts.runner.run(text, context);
        logEvent(OperatorEvents::command,
                 { { "operator", context.operatorId },
                   { "commandId", context.commandId },
                   { "outcome", nameOf(answer.outcome) } });
        send(response, HTTPResponse::HTTP_OK, "application/json", answer.toJson());
    }

    const OperatorServer::Settings &m_settings;
    const OperatorServer::Parts &m_parts;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(OperatorServer::Settings settings, OperatorServer::Parts parts)
        : m_settings(std::move(settings)), m_parts(std::move(parts))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(m_settings, m_parts);
    }

private:
    OperatorServer::Settings m_settings;
    OperatorServer::Parts m_parts;
};

} // namespace

OperatorServer::OperatorServer(std::unique_ptr<Poco::Net::HTTPServer> server) : m_server(std::move(server))
{
}

OperatorServer::~OperatorServer()
{
    m_server->stopAll(true);
}

Result<std::unique_ptr<OperatorServer>> OperatorServer::create(const Settings &settings, const Parts &parts)
{
    try {
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(mostThreads);
        parameters->setMaxQueued(mostWaiting);
        parameters->setTimeout(Poco::Timespan(socketTimeoutSeconds, 0));
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(settings.address, settings.port), true, false);
        socket.listen(backlog);
        auto server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(settings, parts), socket, parameters);
        server->start();
        return std::unique_ptr<OperatorServer>(new OperatorServer(std::move(server)));
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable,
                    "can't listen for operators at " + settings.address + ":" + std::to_string(settings.port) + ": "
                        + exception.displayText());
    }
}

std::uint16_t OperatorServer::port() const
{
    return m_server->port();
}

} // namespace Sapphire
