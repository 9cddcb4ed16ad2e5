#pragma once

#include <LibCore/Metrics.h>
#include <LibOperator/StatementRunner.h>

#include <Poco/Net/HTTPServer.h>

#include <functional>
#include <memory>

namespace Sapphire {

/// The HTTP endpoint of operators: POST /v1/commands with a bearer token, GET /metrics and GET /health.
class OperatorServer
{
public:
    struct Settings
    {
        std::string address;
        std::uint16_t port { 0 };
        std::string token;
    };

    /// The content of the answer to GET /health.
    struct Health
    {
        bool isServing { false };
        std::string detail;
    };

    struct Parts
    {
        StatementRunner &runner;
        Metrics &metrics;
        const Clock &clock;
        std::function<Health()> health;
    };

    /// Fails with Unavailable if the address is in use or doesn't belong to this machine.
    [[nodiscard]] static Result<std::unique_ptr<OperatorServer>> create(const Settings &settings, const Parts &parts);
    ~OperatorServer();

    std::uint16_t port() const;

private:
    explicit OperatorServer(std::unique_ptr<Poco::Net::HTTPServer> server);

    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace Sapphire
