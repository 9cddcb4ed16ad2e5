#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <thread>

namespace Sapphire {

/// A TCP proxy on the loopback address that can stop forwarding on its open connections without closing them, while new
/// ones work.
class SilentProxy
{
public:
    explicit SilentProxy(std::uint16_t targetPort);
    ~SilentProxy();
    SilentProxy(const SilentProxy &) = delete;
    SilentProxy &operator=(const SilentProxy &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }
    /// Stops forwarding on the connections that are open now, without closing them.
    void silenceOpenConnections()
    {
        ++m_firstLiveGeneration;
    }
    /// Stops forwarding on all connections. New ones are still accepted.
    void silenceAll()
    {
        m_firstLiveGeneration = std::numeric_limits<int>::max();
    }

private:
    void run();

    const std::uint16_t m_targetPort;
    int m_listener { -1 };
    std::uint16_t m_port { 0 };
    std::atomic<int> m_firstLiveGeneration { 0 }; ///< Connections of earlier generations are silent.
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// Returns a port of the loopback address that nothing listens on.
std::uint16_t freePort();

} // namespace Sapphire
