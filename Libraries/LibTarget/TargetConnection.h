#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Result.h>
#include <LibTarget/WaitLimit.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <span>

namespace Sapphire {

/// A TCP connection to a target. Every wait is bounded by a WaitLimit. Must be used by one thread at a time.
class TargetConnection
{
public:
    /// Connects. Fails with Unavailable if the target refuses the connection or can't be reached, with Timeout at the
    /// deadline and with Cancelled if the caller is gone.
    [[nodiscard]] static Result<std::unique_ptr<TargetConnection>> create(const Poco::Net::SocketAddress &address,
                                                                          const Clock &clock, const WaitLimit &limit);

    /// Sends bytes until all are sent or the target has sent something, and returns how many were sent.
    /// Fails with Unavailable if the connection is lost, and with Timeout or Cancelled like create().
    [[nodiscard]] Result<std::size_t> send(std::span<const char> bytes, const WaitLimit &limit);
    /// Waits for bytes and returns their number; zero if the target has closed. Fails as send() does.
    [[nodiscard]] Result<std::size_t> receive(std::span<char> buffer, const WaitLimit &limit);
    /// Returns whether unread bytes, the end of the stream or an error are pending.
    bool hasPendingInput() const;

    /// Whether any byte was sent since beginRequest().
    bool hasSent() const
    {
        return m_hasSent;
    }
    void beginRequest()
    {
        m_hasSent = false;
    }
    /// The last moment at which the connection was known to work.
    TimePoint lastUsedAt() const
    {
        return m_lastUsedAt;
    }
    void noteUsed(TimePoint now)
    {
        m_lastUsedAt = now;
        m_isReused = true;
    }
    /// Whether an earlier request used the connection.
    bool isReused() const
    {
        return m_isReused;
    }

private:
    TargetConnection(const Clock &clock, TimePoint now);

    Result<void> connect(const Poco::Net::SocketAddress &address, const WaitLimit &limit);
    /// Waits for any of the poll events and returns those that occurred.
    Result<short> wait(short events, const WaitLimit &limit) const;

    const Clock &m_clock;
    Poco::Net::StreamSocket m_socket;
    int m_descriptor { -1 };
    TimePoint m_lastUsedAt;
    bool m_hasSent { false };
    bool m_isReused { false };
};

} // namespace Sapphire
