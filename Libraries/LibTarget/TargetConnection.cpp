#include <LibTarget/TargetConnection.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

// Longest time until the disconnection of a caller is noticed and its request cancelled.
constexpr Milliseconds cancellationCheckInterval { 100 };

} // namespace

TargetConnection::TargetConnection(const Clock &clock, TimePoint now) : m_clock(clock), m_lastUsedAt(now)
{
}

Result<std::unique_ptr<TargetConnection>> TargetConnection::create(const Poco::Net::SocketAddress &address,
                                                                   const Clock &clock, const WaitLimit &limit)
{
    std::unique_ptr<TargetConnection> connection(new TargetConnection(clock, clock.now()));
    BOOST_LEAF_CHECK(connection->connect(address, limit));
    return connection;
}

Result<void> TargetConnection::connect(const Poco::Net::SocketAddress &address, const WaitLimit &limit)
{
    try {
        m_socket.connectNB(address);
        m_descriptor = m_socket.impl()->sockfd();
        BOOST_LEAF_CHECK(wait(POLLOUT, limit));
        const int error = m_socket.impl()->socketError();
        if (error != 0) {
            return fail(ErrorCode::Unavailable, address.toString() + ": " + std::strerror(error));
        }
        m_socket.setNoDelay(true);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, address.toString() + ": " + exception.displayText());
    }
    return {};
}

Result<short> TargetConnection::wait(short events, const WaitLimit &limit) const
{
    while (true) {
        const Microseconds left = limit.deadline.remaining(m_clock.now());
        if (left == Microseconds::zero()) {
            return fail(ErrorCode::Timeout, "the deadline has passed");
        }
        const Microseconds timeout = std::min<Microseconds>(left, cancellationCheckInterval);
        pollfd entry { m_descriptor, events, 0 };
        const int count = ::poll(&entry, 1, static_cast<int>(std::chrono::ceil<Milliseconds>(timeout).count()));
        if (count > 0) {
            return entry.revents;
        }
        // Checked only after a full interval of waiting, since the check may cost a system call on the caller's socket.
        if (limit.sink != nullptr && limit.sink->isCancelled()) {
            return fail(ErrorCode::Cancelled, "the caller has gone away");
        }
    }
}

Result<std::size_t> TargetConnection::send(std::span<const char> bytes, const WaitLimit &limit)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        // Uses the system call directly, since EAGAIN is an expected result here and POCO would throw an exception.
        const ssize_t count =
            ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            m_hasSent = true;
        } else if (errno == EAGAIN) {
            BOOST_LEAF_AUTO(events, wait(POLLOUT | POLLIN, limit));
            if ((events & POLLIN) != 0) {
                return sent;
            }
        } else if (errno != EINTR) {
            return fail(ErrorCode::Unavailable, std::string("connection lost: ") + std::strerror(errno));
        }
    }
    return sent;
}

Result<std::size_t> TargetConnection::receive(std::span<char> buffer, const WaitLimit &limit)
{
    while (true) {
        BOOST_LEAF_CHECK(wait(POLLIN, limit));
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count >= 0) {
            return static_cast<std::size_t>(count);
        }
        if (errno != EAGAIN && errno != EINTR) {
            return fail(ErrorCode::Unavailable, std::string("connection lost: ") + std::strerror(errno));
        }
    }
}

bool TargetConnection::hasPendingInput() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return count >= 0 || errno != EAGAIN;
}

} // namespace Sapphire
