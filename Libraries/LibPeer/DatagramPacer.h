#pragma once

#include <LibCore/BytesPerSecond.h>
#include <LibNet/EventLoop.h>

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace Sapphire {

/// Sends large datagrams no faster than a rate, since a link drops what it can't queue and the sender isn't told. What
/// waits is bounded.
class DatagramPacer
{
public:
    using Sender = std::function<void(const Poco::Net::SocketAddress &receiver, const std::string &bytes)>;

    DatagramPacer(EventLoop &loop, BytesPerSecond rate, Sender sender);

    void send(const Poco::Net::SocketAddress &receiver, const std::string &bytes);
    /// Returns how many datagrams were dropped because too many were waiting.
    std::uint64_t droppedDatagrams() const
    {
        return m_droppedDatagrams;
    }

private:
    struct Waiting
    {
        Poco::Net::SocketAddress receiver;
        std::string bytes;
    };

    void sendWaiting();

    EventLoop &m_loop;
    BytesPerSecond m_rate;
    Sender m_sender;
    Timer m_timer;
    std::deque<Waiting> m_waiting;
    std::size_t m_waitingBytes { 0 };
    Deadline m_busyUntil; ///< When what was sent has left the link at the rate.
    std::uint64_t m_droppedDatagrams { 0 };
};

} // namespace Sapphire
