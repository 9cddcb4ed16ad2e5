#include <StandIns/FaultProxy/ProxyConnection.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

constexpr std::size_t pieceSize = std::size_t { 64 } * 1024;

Direction opposite(Direction direction)
{
    return direction == Direction::ToServer ? Direction::ToClient : Direction::ToServer;
}

void makeCloseReset(const FileHandle &socket)
{
    const linger immediately { 1, 0 };
    ::setsockopt(socket.number(), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

} // namespace

ProxyConnection::ProxyConnection(std::uint64_t id, ProxyLink &link, FileHandle client, FileHandle server, TimePoint now)
    : m_id(id)
    , m_link(link)
    , m_client(std::move(client))
    , m_server(std::move(server))
    , m_handshakeEnd(now + link.faults.delay.toServer + link.faults.delay.toClient)
{
    ++m_link.counters.accepted;
    ++m_link.counters.open;
    for (const Direction direction : bothDirections) {
        if (link.faults.isSilent[direction]) {
            silence(direction);
        }
    }
}

ProxyConnection::~ProxyConnection()
{
    --m_link.counters.open;
}

std::uint64_t ProxyConnection::id() const
{
    return m_id;
}

ProxyLink &ProxyConnection::link()
{
    return m_link;
}

int ProxyConnection::source(Direction direction) const
{
    return direction == Direction::ToServer ? m_client.number() : m_server.number();
}

int ProxyConnection::destination(Direction direction) const
{
    return source(opposite(direction));
}

bool ProxyConnection::isConnecting() const
{
    return m_isConnecting;
}

void ProxyConnection::setConnected()
{
    m_isConnecting = false;
}

void ProxyConnection::read(Direction direction, TimePoint now)
{
    ProxyPipe &pipe = m_pipes[direction];
    if (pipe.hasEnd() || pipe.isFull() || m_isReset) {
        return;
    }
    static thread_local std::array<char, pieceSize> buffer;
    const ssize_t count = ::recv(source(direction), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        receive(direction, std::string_view(buffer.data(), static_cast<std::size_t>(count)), now);
    } else if (count == 0) {
        pipe.pushEnd(StreamEnd::Finish, releaseTime(direction, now));
    } else if (errno != EAGAIN && errno != EINTR) {
        pipe.pushEnd(StreamEnd::Reset, releaseTime(direction, now));
    }
}

void ProxyConnection::receive(Direction direction, std::string_view bytes, TimePoint now)
{
    m_link.counters.bytes[direction] += bytes.size();
    const std::optional<std::size_t> closeAt = closeOffset(direction, bytes.size());
    m_pipes[direction].push(bytes.substr(0, closeAt.value_or(bytes.size())), releaseTime(direction, now));
    if (closeAt) {
        closeAfterQueued(now);
    }
}

std::optional<std::size_t> ProxyConnection::closeOffset(Direction direction, std::size_t count)
{
    std::optional<std::size_t> closeAt;
    const std::uint64_t closeAfter = m_link.faults.closeAfter;
    if (closeAfter > 0 && m_totalBytes + count >= closeAfter) {
        closeAt = closeAfter - std::min(closeAfter, m_totalBytes);
    }
    m_totalBytes += count;
    if (direction == Direction::ToServer) {
        m_answerBytes = 0;
        return closeAt;
    }
    const std::optional<std::size_t> answerCloseAt = answerCloseOffset(count);
    m_answerBytes += count;
    if (!closeAt || !answerCloseAt) {
        return closeAt ? closeAt : answerCloseAt;
    }
    return std::min(*closeAt, *answerCloseAt);
}

std::optional<std::size_t> ProxyConnection::answerCloseOffset(std::size_t count)
{
    if (m_answerBytes == 0 && m_link.faults.dropAnswers > 0) {
        --m_link.faults.dropAnswers;
        return 0;
    }
    const std::uint64_t limit = m_link.faults.truncateAnswerAfter;
    if (limit > 0 && m_answerBytes + count > limit) {
        return limit - std::min(limit, m_answerBytes);
    }
    return std::nullopt;
}

void ProxyConnection::closeAfterQueued(TimePoint now)
{
    for (const Direction direction : bothDirections) {
        if (!m_pipes[direction].hasEnd()) {
            m_pipes[direction].pushEnd(StreamEnd::Finish, releaseTime(direction, now));
        }
    }
}

TimePoint ProxyConnection::releaseTime(Direction direction, TimePoint now) const
{
    const TimePoint sent = direction == Direction::ToServer ? std::max(now, m_handshakeEnd) : now;
    return sent + m_link.faults.delay[direction];
}

void ProxyConnection::write(Direction direction, TimePoint now)
{
    if (m_isReset || (m_isConnecting && direction == Direction::ToServer)) {
        return;
    }
    ProxyPipe &pipe = m_pipes[direction];
    m_isBlocked[direction] = false;
    for (;;) {
        const std::string_view due = pipe.dueBytes(now);
        if (due.empty() || m_link.busyUntil(direction) > now) {
            break;
        }
        const ssize_t count = ::send(destination(direction), due.data(), std::min(due.size(), m_link.maxWriteSize()),
                                     MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            m_isBlocked[direction] = errno == EAGAIN;
            if (errno != EAGAIN && errno != EINTR) {
                reset();
            }
            return;
        }
        pipe.consume(static_cast<std::size_t>(count));
        m_link.useBandwidth(direction, static_cast<std::size_t>(count), now);
    }
    const std::optional<StreamEnd> end = pipe.takeDueEnd(now);
    if (end == StreamEnd::Reset) {
        reset();
    } else if (end == StreamEnd::Finish) {
        ::shutdown(destination(direction), SHUT_WR);
    }
}

void ProxyConnection::silence(Direction direction)
{
    m_pipes[direction].silence();
}

void ProxyConnection::reset()
{
    m_isReset = true;
    makeCloseReset(m_client);
    makeCloseReset(m_server);
}

bool ProxyConnection::isFinished() const
{
    return m_isReset || (m_pipes.toServer.isDone() && m_pipes.toClient.isDone());
}

std::uint32_t ProxyConnection::interest(Direction direction) const
{
    std::uint32_t events = 0;
    const bool isServerSide = direction == Direction::ToClient;
    if (isServerSide && m_isConnecting) {
        return EPOLLOUT;
    }
    if (!m_pipes[direction].hasEnd() && !m_pipes[direction].isFull()) {
        events |= EPOLLIN;
    }
    if (m_isBlocked[opposite(direction)]) {
        events |= EPOLLOUT;
    }
    return events;
}

std::optional<TimePoint> ProxyConnection::nextWrite(Direction direction) const
{
    const std::optional<TimePoint> release = m_pipes[direction].nextRelease();
    if (!release || m_isBlocked[direction] || (m_isConnecting && direction == Direction::ToServer)) {
        return std::nullopt;
    }
    return std::max(*release, m_link.busyUntil(direction));
}

} // namespace Sapphire
