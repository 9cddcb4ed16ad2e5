#pragma once

#include <LibCore/Deadline.h>
#include <StandIns/FaultProxy/FaultCommand.h>
#include <StandIns/FaultProxy/FileHandle.h>
#include <StandIns/FaultProxy/ProxyLink.h>
#include <StandIns/FaultProxy/ProxyPipe.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Sapphire {

/// A client's connection, its connection to the server, and the bytes in transit between them. Used by one worker only.
class ProxyConnection
{
public:
    ProxyConnection(std::uint64_t id, ProxyLink &link, FileHandle client, FileHandle server, TimePoint now);
    ~ProxyConnection();
    ProxyConnection(const ProxyConnection &) = delete;
    ProxyConnection &operator=(const ProxyConnection &) = delete;

    std::uint64_t id() const;
    ProxyLink &link();
    /// Returns the socket from which the direction reads.
    int source(Direction direction) const;
    bool isConnecting() const;
    /// Notes that the connection to the server is established.
    void setConnected();

    /// Reads once from the direction's source, unless its stream has ended or its pipe is full.
    void read(Direction direction, TimePoint now);
    /// Writes what is due in that direction.
    void write(Direction direction, TimePoint now);
    void silence(Direction direction);
    /// Marks the connection to be reset on both sides.
    void reset();
    /// Returns whether the connection is to be dropped.
    bool isFinished() const;

    /// Returns the epoll events to wait for at the direction's source.
    std::uint32_t interest(Direction direction) const;
    /// Returns when write() has to be called without a socket event; nothing if it need not be.
    std::optional<TimePoint> nextWrite(Direction direction) const;

private:
    int destination(Direction direction) const;
    TimePoint releaseTime(Direction direction, TimePoint now) const;
    void receive(Direction direction, std::string_view bytes, TimePoint now);
    /// Counts the received bytes and returns how many of them may pass before a fault closes the connection; nothing if
    /// it stays open.
    std::optional<std::size_t> closeOffset(Direction direction, std::size_t count);
    std::optional<std::size_t> answerCloseOffset(std::size_t count);
    void closeAfterQueued(TimePoint now);

    const std::uint64_t m_id;
    ProxyLink &m_link;
    FileHandle m_client;
    FileHandle m_server;
    PerDirection<ProxyPipe> m_pipes;
    PerDirection<bool> m_isBlocked; ///< The destination's buffer is full.
    const TimePoint m_handshakeEnd;
    bool m_isConnecting { true };
    bool m_isReset { false };
    std::uint64_t m_totalBytes { 0 };
    std::uint64_t m_answerBytes { 0 };
};

} // namespace Sapphire
