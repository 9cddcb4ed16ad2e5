#pragma once

#include <LibCore/Result.h>
#include <StandIns/Platform/PlatformServerParts.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Sapphire {

struct PlatformServerSettings
{
    /// "ip:port"; port 0 takes any free one.
    std::string address { "127.0.0.1:0" };
    /// Each connection takes a thread while it is open.
    int threads { 1000 };
    /// Reads per second, returned with the counters for comparison and not enforced; writeCeiling likewise.
    std::uint64_t readCeiling { 2000 };
    std::uint64_t writeCeiling { 300 };
};

/// Simulates the platform over HTTP: table service, object store and VM list in memory, and control endpoints that
/// switch faults on.
class PlatformServer
{
public:
    /// Starts to listen. Fails with InvalidArgument if the address cannot be used.
    [[nodiscard]] static Result<std::unique_ptr<PlatformServer>> create(const PlatformServerSettings &settings);
    /// Ends all connections.
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /// Returns "ip:port".
    std::string address() const;
    /// Returns how many connections were accepted so far.
    int acceptedConnections() const;
    /// For tests in the same process; safe to use while the server runs.
    PlatformServerParts &parts();

private:
    struct Http;

    PlatformServer();

    PlatformServerParts m_parts;
    std::unique_ptr<Http> m_http;
};

} // namespace Sapphire
