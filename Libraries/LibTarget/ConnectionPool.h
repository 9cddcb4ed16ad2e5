#pragma once

#include <LibTarget/TargetConnection.h>

#include <mutex>
#include <vector>

namespace Sapphire {

/// The connections of this VM to one target. Safe to use from any thread.
class ConnectionPool
{
public:
    /// Bounds of the limit that ServiceTargets computes from the target's connection limit and the number of VMs.
    static constexpr int leastLimit = 2;
    static constexpr int mostLimit = 40;
    /// Connections that are idle for longer are closed.
    static constexpr Milliseconds idleLimit { 30'000 };

    ConnectionPool(const Poco::Net::SocketAddress &address, int limit, const Clock &clock);

    /// Returns an idle connection without pending input, or a new one. Fails with ResourceExhausted at the limit and as
    /// TargetConnection::create() does. Each connection must be returned with release().
    [[nodiscard]] Result<std::unique_ptr<TargetConnection>> acquire(const WaitLimit &limit);
    /// Always opens a new connection.
    [[nodiscard]] Result<std::unique_ptr<TargetConnection>> acquireNew(const WaitLimit &limit);
    /// Takes a connection back; one that isn't reusable is closed.
    void release(std::unique_ptr<TargetConnection> connection, bool isReusable);

    /// Closes connections that were idle for too long.
    void closeExpired(TimePoint now);
    /// Closes idle connections that were last known to work before the given moment. Used when one of them went silent
    /// or was reset, since a network fault usually affects all connections of that age.
    void closeIdleBefore(TimePoint moment);
    /// Closes all idle connections, and those in use once they are released.
    void close();
    /// Lets the pool keep connections again after close().
    void reopen();
    void setLimit(int limit);

    int openCount() const;
    std::size_t idleCount() const;
    const Poco::Net::SocketAddress &address() const
    {
        return m_address;
    }

private:
    using Connections = std::vector<std::unique_ptr<TargetConnection>>;

    std::unique_ptr<TargetConnection> takeIdle();
    bool reserveConnection();
    void discard(std::unique_ptr<TargetConnection> connection);

    Poco::Net::SocketAddress m_address;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    int m_limit;
    int m_open { 0 };
    bool m_isClosed { false };
    Connections m_idle; ///< The most recently used one is at the end.
};

} // namespace Sapphire
