#pragma once

#include <LibCore/BootClock.h>
#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibPlatform/CircuitBreaker.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <LibPlatform/PlatformConnection.h>
#include <LibPlatform/PlatformExchange.h>

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <mutex>
#include <vector>

namespace Sapphire {

/// A pool of connections to the platform, protected by a circuit breaker. Safe to share between threads.
class PlatformChannel
{
public:
    /// Fails with InvalidArgument if the address is not "ip:port".
    [[nodiscard]] static Result<std::unique_ptr<PlatformChannel>> create(const PlatformClientSettings &settings);

    /// Makes one call. Fails with Unavailable or Timeout; a write then carries the verdict MayHaveRun unless it
    /// certainly had no effect. Statuses below 500 other than 429 are returned as answers. A read that finds its pooled
    /// connection closed is repeated once on a new one.
    [[nodiscard]] Result<PlatformAnswer> call(const PlatformRequest &request, Deadline deadline);

private:
    using ConnectionPointer = std::unique_ptr<PlatformConnection>;

    PlatformChannel(const PlatformClientSettings &settings, const Poco::Net::SocketAddress &address);

    Result<PlatformAnswer> attempt(const PlatformRequest &request, Deadline deadline);
    Result<PlatformAnswer> attemptOnNewConnection(const PlatformRequest &request, Deadline deadline);
    Result<PlatformAnswer> checkStatus(const PlatformRequest &request, PlatformAnswer answer) const;
    ConnectionPointer takeIdle();
    void returnToPool(ConnectionPointer connection);
    void dropIdle();
    void record(const Outcome<PlatformAnswer> &outcome, TimePoint begin);

    const PlatformClientSettings m_settings;
    const Poco::Net::SocketAddress m_address;
    BootClock m_clock;
    CircuitBreaker m_breaker;
    std::mutex m_mutex;
    std::vector<ConnectionPointer> m_idle; ///< The most recently used one is last.
};

} // namespace Sapphire
