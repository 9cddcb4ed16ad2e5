#include <LibTarget/ConnectionPool.h>

#include <algorithm>
#include <functional>
#include <iterator>

namespace Sapphire {

namespace {

// A VM reaches its targets within a few milliseconds. A longer timeout would only delay the detection of a target that
// is down.
constexpr Milliseconds connectTimeout { 300 };

} // namespace

ConnectionPool::ConnectionPool(const Poco::Net::SocketAddress &address, int limit, const Clock &clock)
    : m_address(address), m_clock(clock), m_limit(std::clamp(limit, leastLimit, mostLimit))
{
}

Result<std::unique_ptr<TargetConnection>> ConnectionPool::acquire(const WaitLimit &limit)
{
    while (std::unique_ptr<TargetConnection> connection = takeIdle()) {
        const bool isExpired = m_clock.now() - connection->lastUsedAt() > idleLimit;
        if (!isExpired && !connection->hasPendingInput()) {
            connection->beginRequest();
            return connection;
        }
        discard(std::move(connection));
    }
    return acquireNew(limit);
}

Result<std::unique_ptr<TargetConnection>> ConnectionPool::acquireNew(const WaitLimit &limit)
{
    if (!reserveConnection()) {
        return fail(ErrorCode::ResourceExhausted, "all connections to " + m_address.toString() + " are in use");
    }
    const Deadline connectDeadline = Deadline::after(m_clock.now(), connectTimeout);
    const WaitLimit connectLimit { limit.deadline.earlier(connectDeadline), limit.sink };
    auto outcome = TargetConnection::create(m_address, m_clock, connectLimit);
    if (!outcome) {
        const std::lock_guard guard(m_mutex);
        --m_open;
    }
    return outcome;
}

void ConnectionPool::release(std::unique_ptr<TargetConnection> connection, bool isReusable)
{
    if (isReusable) {
        connection->noteUsed(m_clock.now());
        const std::lock_guard guard(m_mutex);
        if (!m_isClosed && m_open <= m_limit) {
            m_idle.push_back(std::move(connection));
            return;
        }
    }
    discard(std::move(connection));
}

std::unique_ptr<TargetConnection> ConnectionPool::takeIdle()
{
    const std::lock_guard guard(m_mutex);
    if (m_idle.empty()) {
        return nullptr;
    }
    std::unique_ptr<TargetConnection> connection = std::move(m_idle.back());
    m_idle.pop_back();
    return connection;
}

bool ConnectionPool::reserveConnection()
{
    const std::lock_guard guard(m_mutex);
    if (m_open >= m_limit) {
        return false;
    }
    ++m_open;
    return true;
}

void ConnectionPool::discard(std::unique_ptr<TargetConnection> connection)
{
    connection.reset();
    const std::lock_guard guard(m_mutex);
    --m_open;
}

void ConnectionPool::closeExpired(TimePoint now)
{
    closeIdleBefore(now - idleLimit);
}

void ConnectionPool::closeIdleBefore(TimePoint moment)
{
    Connections closed;
    const std::lock_guard guard(m_mutex);
    const auto isOld = [moment](const std::unique_ptr<TargetConnection> &connection) {
        return connection->lastUsedAt() < moment;
    };
    const auto firstOld = std::stable_partition(m_idle.begin(), m_idle.end(), std::not_fn(isOld));
    closed.assign(std::make_move_iterator(firstOld), std::make_move_iterator(m_idle.end()));
    m_idle.erase(firstOld, m_idle.end());
    m_open -= static_cast<int>(closed.size());
}

void ConnectionPool::close()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isClosed = true;
    }
    closeIdleBefore(TimePoint::max());
}

void ConnectionPool::reopen()
{
    const std::lock_guard guard(m_mutex);
    m_isClosed = false;
}

void ConnectionPool::setLimit(int limit)
{
    const std::lock_guard guard(m_mutex);
    m_limit = std::clamp(limit, leastLimit, mostLimit);
}

int ConnectionPool::openCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_open;
}

std::size_t ConnectionPool::idleCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_idle.size();
}

} // namespace Sapphire
