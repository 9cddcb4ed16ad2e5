#include <LibNet/StreamConnection.h>

#include <LibNet/TcpProgress.h>

#include <Poco/Exception.h>

#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

constexpr std::size_t pieceBytes = 16384;
// Pieces that are read before other connections and timers get their turn, so that a peer that sends without end delays
// nobody.
constexpr int mostPiecesInRow = 4;
// How often output that may wait for a peer without room is looked at: well below a second, the limit for targets.
constexpr Milliseconds progressInterval { 200 };
// Every peer has room for this much.
constexpr std::size_t alwaysTakenBytes = 1'024;
constexpr int probeIntervalSeconds = 1;
constexpr int lostProbes = 2;

} // namespace

StreamConnection::StreamConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                   StreamConnectionListener &listener)
    : m_loop(loop)
    , m_socket(socket)
    , m_descriptor(socket.impl()->sockfd())
    , m_listener(&listener)
    , m_progressTimer(loop, [this] {
        checkProgress();
    })
{
}

StreamConnection::~StreamConnection()
{
    close();
}

RefPointer<StreamConnection> StreamConnection::adopt(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                                     const LivenessSettings &liveness,
                                                     StreamConnectionListener &listener)
{
    RefPointer<StreamConnection> connection(new StreamConnection(loop, socket, listener));
    connection->applyLiveness(liveness);
    connection->updateInterest();
    return connection;
}

Result<RefPointer<StreamConnection>> StreamConnection::connect(EventLoop &loop, const Poco::Net::SocketAddress &address,
                                                               const LivenessSettings &liveness,
                                                               StreamConnectionListener &listener)
{
    Poco::Net::StreamSocket socket;
    try {
        socket.connectNB(address);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, address.toString() + ": " + exception.displayText());
    }
    RefPointer<StreamConnection> connection(new StreamConnection(loop, socket, listener));
    connection->m_isConnecting = true;
    connection->applyLiveness(liveness);
    connection->updateInterest();
    return connection;
}

void StreamConnection::applyLiveness(const LivenessSettings &liveness)
{
    m_failsOnCloseWhilePaused = liveness.failsOnCloseWhilePaused;
    try {
        m_socket.setBlocking(false);
        m_socket.setNoDelay(true);
        m_unacknowledgedLimit = liveness.unacknowledgedLimit;
        setUserTimeout(m_unacknowledgedLimit);
        if (liveness.probeAfter > std::chrono::seconds::zero()) {
            m_socket.setKeepAlive(true);
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(liveness.probeAfter.count()));
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, lostProbes);
        }
    } catch (const Poco::Exception &) {
        // The peer has already closed the connection, which the first read reports.
        return;
    }
}

void StreamConnection::send(std::string_view bytes)
{
    if (!isSound()) {
        return;
    }
    m_output.append(bytes);
    if (!m_isConnecting) {
        flush();
    }
}

void StreamConnection::setReading(bool isReading)
{
    if (m_isOpen && m_isReading != isReading) {
        m_isReading = isReading;
        updateInterest();
    }
}

void StreamConnection::finishOutput()
{
    m_isFinishing = true;
    if (isSound() && !m_isConnecting) {
        flush();
    }
}

void StreamConnection::close()
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    m_progressTimer.stop();
    m_loop.unwatch(m_descriptor);
    m_socket.close();
}

void StreamConnection::reset()
{
    if (!m_isOpen) {
        return;
    }
    const linger immediately { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
}

void StreamConnection::descriptorReady(const DescriptorEvents &events)
{
    // The listener may drop its reference in a callback.
    const RefPointer<StreamConnection> self(this);
    if (m_isConnecting) {
        if (events.isWritable || events.isPeerClosed) {
            finishConnecting();
        }
        return;
    }
    if (events.isWritable && !m_hasFailed) {
        flush();
        if (isSound() && pendingOutput() == 0) {
            m_listener->outputDrained();
        }
    }
    if (!m_isOpen) {
        return;
    }
    if (m_isReading && !m_hasPeerClosed) {
        receive();
    } else if (events.isPeerClosed) {
        closeBroken();
    }
}

void StreamConnection::finishConnecting()
{
    const int error = m_socket.impl()->socketError();
    if (error != 0) {
        closeBroken();
        return;
    }
    m_isConnecting = false;
    updateInterest();
    m_listener->connectionEstablished();
    if (m_isOpen) {
        flush();
    }
}

void StreamConnection::receive()
{
    std::size_t count = pieceBytes;
    for (int pieces = 0; pieces < mostPiecesInRow && count == pieceBytes; ++pieces) {
        count = m_isOpen && m_isReading ? receivePiece() : 0;
    }
}

/// Returns how many bytes were received; 0 if there are none now, or if the input has ended.
std::size_t StreamConnection::receivePiece()
{
    std::array<char, pieceBytes> piece;
    ssize_t count = 0;
    do {
        // Calls recv() directly, since a would-block result must not raise an exception here.
        count = ::recv(m_descriptor, piece.data(), piece.size(), MSG_DONTWAIT);
    } while (count < 0 && errno == EINTR);
    if (count > 0) {
        m_listener->bytesReceived({ piece.data(), static_cast<std::size_t>(count) });
        return static_cast<std::size_t>(count);
    }
    if (count < 0 && errno != EAGAIN) {
        closeBroken();
    } else if (count == 0 && !m_hasFailed) {
        m_hasPeerClosed = true;
        updateInterest();
        m_listener->peerClosed(false);
    }
    return 0;
}

void StreamConnection::flush()
{
    while (!m_output.isEmpty()) {
        const std::string_view waiting = m_output.waiting();
        const ssize_t count = ::send(m_descriptor, waiting.data(), waiting.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            m_hasSent = true;
            m_sentUnchecked += static_cast<std::size_t>(count);
            m_output.consume(static_cast<std::size_t>(count));
        } else if (errno == EAGAIN) {
            updateInterest();
            startProgressTimer();
            return;
        } else if (errno != EINTR) {
            sendingFailed();
            return;
        }
    }
    updateInterest();
    startProgressTimer();
    if (m_isFinishing && m_isOpen) {
        ::shutdown(m_descriptor, SHUT_WR);
        m_isFinishing = false;
    }
}

void StreamConnection::startProgressTimer()
{
    const bool isLimited = m_unacknowledgedLimit > Milliseconds::zero();
    if (isLimited && m_sentUnchecked > alwaysTakenBytes && !m_progressTimer.isRunning()) {
        m_progressTimer.start(Deadline::after(m_loop.now(), progressInterval));
    }
}

void StreamConnection::checkProgress()
{
    const RefPointer<StreamConnection> self(this);
    const std::optional<TcpProgress> progress = tcpProgressOf(m_descriptor);
    if (!progress || progress->isAllAcknowledged()) {
        setUserTimeout(m_unacknowledgedLimit);
        m_sentUnchecked = 0;
        return;
    }
    if (progress->isPeerSilent(m_unacknowledgedLimit)) {
        closeBroken();
        return;
    }
    // The kernel's timeout doesn't distinguish a peer that has no room from one that is silent.
    setUserTimeout(progress->isBlockedByPeer() ? Milliseconds::zero() : m_unacknowledgedLimit);
    startProgressTimer();
}

void StreamConnection::setUserTimeout(Milliseconds limit)
{
    if (limit == m_userTimeout) {
        return;
    }
    const auto milliseconds = static_cast<unsigned>(limit.count());
    if (::setsockopt(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds) == 0) {
        m_userTimeout = limit;
    }
}

void StreamConnection::sendingFailed()
{
    // The failed call has taken the error off the socket: reading now ends as if the peer had closed its side.
    m_hasFailed = true;
    m_output.clear();
    // Notifies the listener later, since it may be in the middle of a call to send().
    m_loop.later([self = RefPointer<StreamConnection>(this)] {
        self->closeFailed();
    });
}

void StreamConnection::closeFailed()
{
    // What had arrived before the failure may be a complete answer.
    while (m_isOpen && m_isReading && !m_hasPeerClosed && receivePiece() > 0) {
    }
    closeBroken();
}

void StreamConnection::closeBroken()
{
    if (!m_isOpen) {
        return;
    }
    close();
    m_listener->peerClosed(true);
}

void StreamConnection::updateInterest()
{
    if (!m_isOpen) {
        return;
    }
    DescriptorInterest interest;
    interest.wantsRead = m_isReading && !m_hasPeerClosed && !m_isConnecting;
    interest.wantsWrite = m_isConnecting || pendingOutput() > 0;
    interest.wantsPeerClose = m_failsOnCloseWhilePaused && !m_hasPeerClosed;
    m_loop.watch(m_descriptor, interest, *this);
}

} // namespace Sapphire
