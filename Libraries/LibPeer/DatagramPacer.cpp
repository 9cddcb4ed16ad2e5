#include <LibPeer/DatagramPacer.h>

#include <algorithm>

namespace Sapphire {

namespace {

// What leaves the link within this time is sent at once.
constexpr Milliseconds longestBurst { 20 };
// A document of the largest size for each of a few VMs.
constexpr std::size_t mostWaitingBytes = 1'000'000;

} // namespace

DatagramPacer::DatagramPacer(EventLoop &loop, BytesPerSecond rate, Sender sender)
    : m_loop(loop), m_rate(rate), m_sender(std::move(sender)), m_timer(loop, [this] {
        sendWaiting();
    })
{
}

void DatagramPacer::send(const Poco::Net::SocketAddress &receiver, const std::string &bytes)
{
    if (m_waitingBytes + bytes.size() > mostWaitingBytes) {
        ++m_droppedDatagrams;
        return;
    }
    m_waiting.push_back({ receiver, bytes });
    m_waitingBytes += bytes.size();
    if (!m_timer.isRunning()) {
        sendWaiting();
    }
}

void DatagramPacer::sendWaiting()
{
    const TimePoint now = m_loop.now();
    while (!m_waiting.empty() && m_busyUntil.remaining(now) <= longestBurst) {
        const Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_waitingBytes -= next.bytes.size();
        m_sender(next.receiver, next.bytes);
        const Microseconds transferTime { static_cast<std::int64_t>(next.bytes.size() * 1'000'000 / m_rate.value()) };
        m_busyUntil = Deadline::after(std::max(now, m_busyUntil.at()), transferTime);
    }
    if (!m_waiting.empty()) {
        m_timer.start(Deadline(m_busyUntil.at() - longestBurst));
    }
}

} // namespace Sapphire
