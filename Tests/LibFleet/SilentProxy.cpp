#include "SilentProxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <map>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Sapphire {

namespace {

constexpr int pollMilliseconds = 20;
constexpr std::size_t bufferBytes = 65'536;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

int boundSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (socket < 0 || ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("no port of the loopback address is free");
    }
    return socket;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

bool sendAll(int socket, const char *bytes, std::size_t count)
{
    while (count > 0) {
        const ssize_t sent = ::send(socket, bytes, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        count -= static_cast<std::size_t>(sent);
    }
    return true;
}

struct Connection
{
    int other { -1 };
    int generation { 0 }; ///< Number of calls of silenceOpenConnections() before it was accepted.
};

} // namespace

std::uint16_t freePort()
{
    const int socket = boundSocket();
    const std::uint16_t port = portOf(socket);
    ::close(socket);
    return port;
}

SilentProxy::SilentProxy(std::uint16_t targetPort) : m_targetPort(targetPort), m_listener(boundSocket())
{
    constexpr int backlog = 16;
    m_port = portOf(m_listener);
    ::listen(m_listener, backlog);
    m_thread = std::thread(&SilentProxy::run, this);
}

SilentProxy::~SilentProxy()
{
    m_isStopping = true;
    m_thread.join();
    ::close(m_listener);
}

void SilentProxy::run()
{
    std::map<int, Connection> connections;
    std::vector<char> buffer(bufferBytes);
    const auto close = [&](int socket) {
        const int other = connections.at(socket).other;
        connections.erase(socket);
        connections.erase(other);
        ::close(socket);
        ::close(other);
    };
    while (!m_isStopping) {
        std::vector<pollfd> waiting { { m_listener, POLLIN, 0 } };
        for (const auto &[socket, connection] : connections) {
            if (connection.generation >= m_firstLiveGeneration) {
                waiting.push_back({ socket, POLLIN, 0 });
            }
        }
        ::poll(waiting.data(), waiting.size(), pollMilliseconds);
        for (const pollfd &entry : waiting) {
            if (entry.revents == 0) {
                continue;
            }
            if (entry.fd == m_listener) {
                const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address = loopback(m_targetPort);
                if (::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
                    ::close(client);
                    ::close(server);
                    continue;
                }
                const int generation = std::min<int>(m_firstLiveGeneration, std::numeric_limits<int>::max() - 1);
                connections[client] = { server, generation };
                connections[server] = { client, generation };
            } else if (connections.contains(entry.fd)) {
                const ssize_t count = ::recv(entry.fd, buffer.data(), buffer.size(), 0);
                const int other = connections.at(entry.fd).other;
                if (count <= 0 || !sendAll(other, buffer.data(), static_cast<std::size_t>(count))) {
                    close(entry.fd);
                }
            }
        }
    }
    while (!connections.empty()) {
        close(connections.begin()->first);
    }
}

} // namespace Sapphire
