#pragma once

#include <atomic>
#include <cstdint>
#include <limits>
#include <thread>

namespace Sapphire {

/// A TCP proxy on the loopback address whose open connections go silent on demand, while new ones work.
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
    /// From now on nothing passes on the connections that are open; they are not closed.
    void silenceOpenConnections()
    {
        ++m_silencedBefore;
    }
    /// Later connections are accepted, but nothing passes on them either.
    void silenceAll()
    {
        m_silencedBefore = std::numeric_limits<int>::max();
    }

private:
    void run();

    const std::uint16_t m_targetPort;
    int m_listener { -1 };
    std::uint16_t m_port { 0 };
    std::atomic<int> m_silencedBefore { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// Returns a port of the loopback address that nothing listens on.
std::uint16_t freePort();

} // namespace Sapphire
