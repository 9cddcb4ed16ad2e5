#include <LibNet/HttpListener.h>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <cerrno>

#include <sys/socket.h>

namespace Sapphire {

namespace {

// The kernel drops the SYN of a connection if the accept queue is full, and the caller retransmits it only after
// seconds.
constexpr int listenBacklog = 1024;
constexpr Milliseconds sweepInterval { 200 };

} // namespace

HttpListener::HttpListener(EventLoop &loop, const Poco::Net::ServerSocket &socket, HttpHandlerFactory &factory,
                           const HttpServerPolicy &policy)
    : m_loop(loop), m_socket(socket), m_factory(factory), m_policy(policy), m_sweep(loop, [this] {
        dropEnded();
    })
{
    m_loop.watch(m_socket.impl()->sockfd(), {}, *this);
}

HttpListener::~HttpListener()
{
    stopAccepting();
}

Result<std::unique_ptr<HttpListener>> HttpListener::create(EventLoop &loop, const Poco::Net::SocketAddress &address,
                                                           HttpHandlerFactory &factory, const HttpServerPolicy &policy)
{
    Poco::Net::ServerSocket socket;
    try {
        socket.bind(address, true, false);
        socket.listen(listenBacklog);
        socket.setBlocking(false);
    } catch (const Poco::Exception &exception) {
        return fail(ErrorCode::Unavailable, "can't listen at " + address.toString() + ": " + exception.displayText());
    }
    return std::unique_ptr<HttpListener>(new HttpListener(loop, socket, factory, policy));
}

void HttpListener::descriptorReady(const DescriptorEvents &)
{
    while (m_isAccepting) {
        const int descriptor = ::accept4(m_socket.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            pauseIfExhausted(errno);
            break;
        }
        const Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(descriptor));
        m_connections.push_back(HttpServerConnection::create(m_loop, socket, m_factory, m_policy));
    }
    if (!m_sweep.isRunning()) {
        m_sweep.start(Deadline::after(m_loop.now(), sweepInterval));
    }
}

void HttpListener::pauseIfExhausted(int error)
{
    // The connection stays in the accept queue, so the descriptor would be reported as readable again at once.
    if (error == EMFILE || error == ENFILE || error == ENOMEM) {
        m_loop.unwatch(m_socket.impl()->sockfd());
        m_isPaused = true;
    }
}

void HttpListener::dropEnded()
{
    if (m_isPaused && m_isAccepting) {
        m_isPaused = false;
        m_loop.watch(m_socket.impl()->sockfd(), {}, *this);
    }
    std::erase_if(m_connections, [](const RefPointer<HttpServerConnection> &connection) {
        return !connection->isOpen();
    });
    if (!m_connections.empty() || m_isPaused) {
        m_sweep.start(Deadline::after(m_loop.now(), sweepInterval));
    }
}

void HttpListener::stopAccepting()
{
    if (m_isAccepting) {
        m_isAccepting = false;
        m_loop.unwatch(m_socket.impl()->sockfd());
        m_socket.close();
    }
}

} // namespace Sapphire
