#pragma once

#include <LibCore/RefCounted.h>
#include <LibNet/EventLoop.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

namespace Sapphire {

/// Is told what happens on a connection. No function is called after StreamConnection::close().
class StreamConnectionListener
{
public:
    virtual ~StreamConnectionListener() = default;

    /// An outgoing connection was accepted by the peer.
    virtual void connectionEstablished() = 0;
    /// Called once for each piece that arrives.
    virtual void bytesReceived(std::string_view bytes) = 0;
    /// The peer sends nothing more. With `isBroken` the connection has failed and nothing can be sent either.
    virtual void peerClosed(bool isBroken) = 0;
    /// Bytes that the kernel had not taken at once are with it now. Never called from within send().
    virtual void outputDrained() = 0;
};

/// How the kernel finds out that a peer is gone without a word. Zero leaves a check off.
struct LivenessSettings
{
    /// Sent bytes that are not acknowledged for this long end the connection.
    Milliseconds unacknowledgedLimit { 0 };
    /// A connection on which nothing arrives for this long is probed, once a second, and ends after two lost probes.
    std::chrono::seconds probeAfter { 0 };
};

/// A TCP connection that never blocks. What the kernel doesn't take at once is kept and sent later.
class StreamConnection final : public RefCounted<StreamConnection>, private DescriptorListener
{
public:
    /// Takes over a connection that was accepted.
    static RefPointer<StreamConnection> adopt(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                              const LivenessSettings &liveness, StreamConnectionListener &listener);
    /// Begins to connect. Fails with Unavailable if that fails at once.
    [[nodiscard]] static Result<RefPointer<StreamConnection>> connect(EventLoop &loop,
                                                                      const Poco::Net::SocketAddress &address,
                                                                      const LivenessSettings &liveness,
                                                                      StreamConnectionListener &listener);
    ~StreamConnection() override;

    void send(std::string_view bytes);
    /// Bytes that the kernel has not taken yet.
    std::size_t pendingOutput() const
    {
        return m_output.size() - m_outputBegin;
    }
    /// Whether the kernel has taken any byte.
    bool hasSent() const
    {
        return m_hasSent;
    }
    /// Stops or resumes reading. A peer that closes is noticed only while reading.
    void setReading(bool isReading);
    /// Sends what is pending, then tells the peer that nothing more will come.
    void finishOutput();
    /// Closes at once. Unsent bytes are dropped.
    void close();
    /// Closes so that the peer sees a reset and can't take a cut answer for a complete one.
    void reset();
    bool isOpen() const
    {
        return m_isOpen;
    }

private:
    StreamConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket, StreamConnectionListener &listener);

    void applyLiveness(const LivenessSettings &liveness);
    void descriptorReady(const DescriptorEvents &events) override;
    void finishConnecting();
    void receive();
    void flush();
    void closeBroken();
    void updateInterest();

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    int m_descriptor;
    StreamConnectionListener *m_listener;
    std::string m_output;
    std::size_t m_outputBegin { 0 };
    bool m_isOpen { true };
    bool m_isConnecting { false };
    bool m_isReading { true };
    bool m_hasPeerClosed { false };
    bool m_hasSent { false };
    bool m_isFinishing { false };
};

} // namespace Sapphire
