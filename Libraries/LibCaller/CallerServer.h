#pragma once

#include <LibCaller/CallerEndpoint.h>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>

namespace Sapphire {

/// The HTTP server for callers, with one thread per connection. Connections beyond the limit are closed immediately.
class CallerServer
{
public:
    struct Settings
    {
        std::string address; ///< IP address.
        std::uint16_t port { 0 };
        int mostConnections { 1'000 };
        /// Time for a request head to arrive, and for a kept-alive connection to stay idle.
        Milliseconds headTimeout { 20'000 };
    };

    /// Fails with Unavailable if the address is in use or doesn't belong to this machine.
    [[nodiscard]] static Result<std::unique_ptr<CallerServer>>
    create(const Settings &settings, const CallerEndpoint &endpoint, ConnectionGuard &guard);
    ~CallerServer();

    std::uint16_t port() const;
    /// Stops accepting connections. Open ones continue.
    void stop();

private:
    CallerServer(std::unique_ptr<Poco::ThreadPool> threads, std::unique_ptr<Poco::Net::TCPServer> server);

    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace Sapphire
