#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace Sapphire {

/// A target whose answers a test writes as raw bytes. The script runs once for each accepted connection, on its own
/// thread.
class ScriptedTarget
{
public:
    using Script = std::function<void(Poco::Net::StreamSocket &)>;

    explicit ScriptedTarget(Script script)
        : m_script(std::move(script))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_address(m_socket.address())
        , m_thread([this] {
            accept();
        })
    {
    }
    ~ScriptedTarget()
    {
        m_isStopped = true;
        m_thread.join();
        for (std::thread &thread : m_connections) {
            thread.join();
        }
    }
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    const Poco::Net::SocketAddress &address() const
    {
        return m_address;
    }
    int accepted() const
    {
        return m_accepted;
    }

    /// Reads until a head has arrived. Returns an empty text if the other side has closed the connection.
    static std::string readHead(Poco::Net::StreamSocket &socket)
    {
        std::string text;
        char byte = 0;
        while (text.find("\r\n\r\n") == std::string::npos) {
            if (socket.receiveBytes(&byte, 1) <= 0) {
                return "";
            }
            text += byte;
        }
        return text;
    }
    /// Returns whether the other side has closed or reset a connection on which nothing else is left to read. The
    /// kernel knows at once, whereas a script notices when its thread runs next.
    static bool isClosed(const Poco::Net::StreamSocket &socket)
    {
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }
    static void write(Poco::Net::StreamSocket &socket, const std::string &text)
    {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            if (m_socket.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                ++m_accepted;
                Poco::Net::StreamSocket &socket = m_sockets.emplace_back(m_socket.acceptConnection());
                m_connections.emplace_back([this, &socket] {
                    runScript(socket);
                });
            }
        }
    }

    void runScript(Poco::Net::StreamSocket &socket)
    {
        try {
            socket.setReceiveTimeout(Poco::Timespan(5, 0));
            m_script(socket);
        } catch (const Poco::Exception &) {
            // The test's side closed first.
        }
        socket.close();
    }

    Script m_script;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::SocketAddress m_address;
    std::atomic<int> m_accepted { 0 };
    std::atomic<bool> m_isStopped { false };
    std::list<Poco::Net::StreamSocket> m_sockets; ///< Released by the test's thread, after the scripts have ended.
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace Sapphire
