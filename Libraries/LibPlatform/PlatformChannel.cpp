#include <LibPlatform/PlatformChannel.h>

#include <LibNet/SocketAddresses.h>
#include <LibPlatform/PlatformEvents.h>

namespace Sapphire {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusInternalServerError = 500;
constexpr int statusServiceUnavailable = 503;

} // namespace

PlatformChannel::PlatformChannel(const PlatformClientSettings &settings, const Poco::Net::SocketAddress &address)
    : m_settings(settings), m_address(address), m_breaker(settings.breaker)
{
}

Result<std::unique_ptr<PlatformChannel>> PlatformChannel::create(const PlatformClientSettings &settings)
{
    const Outcome<Ipv4Endpoint> address = capture([&settings] {
        return Ipv4Endpoint::parse(settings.address);
    });
    if (!address) {
        return fail(ErrorCode::InvalidArgument, "platform address: " + address.error().message);
    }
    return std::unique_ptr<PlatformChannel>(new PlatformChannel(settings, socketAddressOf(address.value())));
}

Result<PlatformAnswer> PlatformChannel::call(const PlatformRequest &request, Deadline deadline)
{
    const TimePoint now = m_clock.now();
    if (deadline.hasPassed(now)) {
        return fail(ErrorCode::Timeout, request.method + " " + request.path + ": the deadline had already passed");
    }
    if (!m_breaker.admits(now)) {
        return fail(ErrorCode::Unavailable,
                    request.method + " " + request.path + ": not sent, the platform at " + m_address.toString()
                        + " failed several times in a row");
    }
    Outcome<PlatformAnswer> outcome = capture([&] {
        return attempt(request, deadline);
    });
    record(outcome, now);
    if (!outcome) {
        return fail(outcome.error());
    }
    return std::move(outcome.value());
}

Result<PlatformAnswer> PlatformChannel::attempt(const PlatformRequest &request, Deadline deadline)
{
    ConnectionPointer connection = takeIdle();
    if (!connection) {
        return attemptOnNewConnection(request, deadline);
    }
    Outcome<PlatformAnswer> outcome = capture([&] {
        return connection->exchange(request, m_settings.maxAnswerBytes, deadline);
    });
    if (outcome) {
        returnToPool(std::move(connection));
        return checkStatus(request, std::move(outcome.value()));
    }
    // The other idle connections may have failed in the same way.
    dropIdle();
    const bool wasClosed = outcome.error().code == ErrorCode::Unavailable && !connection->hasReceivedAnything();
    if (wasClosed && !request.isWrite()) {
        return attemptOnNewConnection(request, deadline);
    }
    return fail(outcome.error());
}

Result<PlatformAnswer> PlatformChannel::attemptOnNewConnection(const PlatformRequest &request, Deadline deadline)
{
    BOOST_LEAF_AUTO(connection, PlatformConnection::create(m_address, deadline));
    BOOST_LEAF_AUTO(answer, connection->exchange(request, m_settings.maxAnswerBytes, deadline));
    returnToPool(std::move(connection));
    return checkStatus(request, std::move(answer));
}

Result<PlatformAnswer> PlatformChannel::checkStatus(const PlatformRequest &request, PlatformAnswer answer) const
{
    if (answer.status < statusInternalServerError && answer.status != statusTooManyRequests) {
        return answer;
    }
    const bool isRefused = answer.status == statusServiceUnavailable || answer.status == statusTooManyRequests;
    return fail(ErrorCode::Unavailable,
                request.method + " " + request.path + " at " + m_address.toString() + ": answered with status "
                    + std::to_string(answer.status),
                request.isWrite() && !isRefused ? Verdict::MayHaveRun : Verdict::NotRun);
}

PlatformChannel::ConnectionPointer PlatformChannel::takeIdle()
{
    const std::lock_guard guard(m_mutex);
    while (!m_idle.empty()) {
        ConnectionPointer connection = std::move(m_idle.back());
        m_idle.pop_back();
        const bool isFresh = !Deadline::after(connection->lastUse(), m_settings.idleTime).hasPassed(m_clock.now());
        if (isFresh && connection->isReusable()) {
            return connection;
        }
    }
    return nullptr;
}

void PlatformChannel::returnToPool(ConnectionPointer connection)
{
    const std::lock_guard guard(m_mutex);
    if (m_idle.size() < m_settings.idleConnections && connection->isReusable()) {
        m_idle.push_back(std::move(connection));
    }
}

void PlatformChannel::dropIdle()
{
    std::vector<ConnectionPointer> dropped;
    const std::lock_guard guard(m_mutex);
    dropped.swap(m_idle);
}

void PlatformChannel::record(const Outcome<PlatformAnswer> &outcome, TimePoint begin)
{
    if (outcome) {
        if (m_breaker.recordSuccess()) {
            logEvent(platformReachable, { { "address", m_address.toString() } });
        }
        return;
    }
    const TimePoint now = m_clock.now();
    const bool countsAsFailure =
        outcome.error().code != ErrorCode::Timeout || now - begin >= m_settings.minimumCountedWait;
    if (countsAsFailure && m_breaker.recordFailure(now)) {
        logEvent(platformUnreachable, { { "address", m_address.toString() }, { "reason", outcome.error().message } });
    }
}

} // namespace Sapphire
