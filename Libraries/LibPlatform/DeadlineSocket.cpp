#include <LibPlatform/DeadlineSocket.h>

#include <LibCore/BootClock.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

// Keeps the conversion to int within bounds; the caller polls again if time remains.
constexpr Milliseconds maxPollTime { 60'000 };

int pollMilliseconds(Microseconds remaining)
{
    const auto rounded = std::chrono::ceil<Milliseconds>(remaining);
    return static_cast<int>(std::min(rounded, maxPollTime).count());
}

} // namespace

void DeadlineSocket::start(Deadline deadline)
{
    m_deadline = deadline;
    m_bytesSent = 0;
    m_bytesReceived = 0;
}

std::size_t DeadlineSocket::bytesSent() const
{
    return m_bytesSent;
}

std::size_t DeadlineSocket::bytesReceived() const
{
    return m_bytesReceived;
}

bool DeadlineSocket::hasInput()
{
    pollfd entry { sockfd(), POLLIN, 0 };
    return ::poll(&entry, 1, 0) != 0;
}

void DeadlineSocket::waitFor(short events)
{
    const BootClock clock;
    for (;;) {
        const Microseconds remaining = m_deadline.remaining(clock.now());
        if (remaining == Microseconds::zero()) {
            throw Poco::TimeoutException("the deadline passed");
        }
        pollfd entry { sockfd(), events, 0 };
        const bool isReady = ::poll(&entry, 1, pollMilliseconds(remaining)) > 0;
        // The process may have been suspended while it waited; what has arrived by now may be of any age.
        if (isReady && !m_deadline.hasPassed(clock.now())) {
            return;
        }
    }
}

int DeadlineSocket::sendBytes(const void *buffer, int length, int flags)
{
    const char *bytes = static_cast<const char *>(buffer);
    int sent = 0;
    while (sent < length) {
        waitFor(POLLOUT);
        const ssize_t count = ::send(sockfd(), bytes + sent, static_cast<std::size_t>(length - sent),
                                     flags | MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<int>(count);
            m_bytesSent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN && errno != EINTR) {
            error(errno);
        }
    }
    return sent;
}

int DeadlineSocket::receiveBytes(void *buffer, int length, int flags)
{
    for (;;) {
        waitFor(POLLIN);
        const ssize_t count = ::recv(sockfd(), buffer, static_cast<std::size_t>(length), flags | MSG_DONTWAIT);
        if (count >= 0) {
            m_bytesReceived += static_cast<std::size_t>(count);
            return static_cast<int>(count);
        }
        if (errno != EAGAIN && errno != EINTR) {
            error(errno);
        }
    }
}

} // namespace Sapphire
