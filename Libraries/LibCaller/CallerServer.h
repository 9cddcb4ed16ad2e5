#pragma once

#include <LibCaller/CallerEndpoint.h>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>

namespace Sapphire {

/// The HTTP server towards callers. A thread serves each connection; connections beyond the limit are closed at once.
class CallerServer
{
public:
    struct Settings
    {
        std::string address; ///< IP number.
        std::uint16_t port { 0 };
        int mostConnections { 1'000 };
        /// Time for a request head to arrive, and for a kept-alive connection to stay idle.
        Milliseconds headTimeout { 20'000 };
    };

    /// Fails with Unavailable if the address is in use or not of this machine.
    [[nodiscard]] static Result<std::unique_ptr<CallerServer>>
    create(const Settings &settings, const CallerEndpoint &endpoint, ConnectionGuard &guard);
    ~CallerServer();

    std::uint16_t port() const;
    /// Takes no further connections; those open go on.
    void stop();

private:
    CallerServer(std::unique_ptr<Poco::ThreadPool> threads, std::unique_ptr<Poco::Net::TCPServer> server);

    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace Sapphire
