#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <StandIns/FaultProxy/FaultCommand.h>
#include <StandIns/FaultProxy/FileHandle.h>
#include <StandIns/FaultProxy/LinkSettings.h>

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// Connections and bytes of a link since its start.
struct LinkCounters
{
    std::string name;
    std::uint64_t accepted { 0 };
    std::uint64_t open { 0 };
    PerDirection<std::uint64_t> bytes; ///< Read from the direction's source.
};

/// One link: its listening socket, its faults and its bandwidth. Used by one worker only.
struct ProxyLink
{
    explicit ProxyLink(const LinkSettings &linkSettings);

    /// Fails with Unavailable if the address cannot be used.
    [[nodiscard]] Result<void> openListener();
    /// Returns a socket whose connection to the server has begun, or a closed handle if it failed at once.
    FileHandle startConnecting() const;

    void setFaults(const LinkFaults &newFaults);
    /// Returns until when the bandwidth in that direction is used up.
    TimePoint busyUntil(Direction direction) const;
    /// Returns how many bytes one write may send, so that a limited bandwidth is used evenly.
    std::size_t maxWriteSize() const;
    void useBandwidth(Direction direction, std::size_t bytes, TimePoint now);

    LinkSettings settings;
    Poco::Net::SocketAddress listenAddress;
    Poco::Net::SocketAddress serverAddress;
    LinkFaults faults;
    LinkCounters counters;
    FileHandle listener;
    /// The server refused a connection. The listener stays closed, so that clients are refused too, until it accepts.
    bool isServerDown { false };
    FileHandle probe; ///< Connection attempt that checks whether the server is back.

private:
    PerDirection<TimePoint> m_busyUntil;
};

} // namespace Sapphire
