#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibPlatform/DeadlineSocket.h>
#include <LibPlatform/PlatformExchange.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>

namespace Sapphire {

/// A persistent HTTP connection to the platform that carries one request at a time and never reconnects by itself.
class PlatformConnection final
{
public:
    /// Connects. Fails with Unavailable or Timeout and the verdict NotRun.
    [[nodiscard]] static Result<std::unique_ptr<PlatformConnection>> create(const Poco::Net::SocketAddress &address,
                                                                            Deadline deadline);
    /// Sends the request and reads the complete answer. Fails with Timeout or Unavailable; a write then carries
    /// the verdict MayHaveRun if any byte was sent. After a failure the connection must be dropped.
    [[nodiscard]] Result<PlatformAnswer> exchange(const PlatformRequest &request, std::size_t maxAnswerBytes,
                                                  Deadline deadline);

    /// Returns whether the last answer was received completely and the platform keeps the connection open.
    bool isReusable();
    /// Returns whether any byte of the answer to the last request arrived.
    bool hasReceivedAnything() const;
    /// Returns when the last exchange ended.
    TimePoint lastUse() const;

private:
    PlatformConnection(DeadlineSocket *socket, const Poco::Net::SocketAddress &address);

    void send(const PlatformRequest &request);
    PlatformAnswer receive(const PlatformRequest &request, std::size_t maxAnswerBytes);

    Poco::Net::StreamSocket m_socket;
    DeadlineSocket *m_deadlineSocket; ///< Owned by m_socket.
    std::string m_address;
    bool m_isComplete { false };
    TimePoint m_lastUse;
};

} // namespace Sapphire
