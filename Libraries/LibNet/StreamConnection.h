#pragma once

#include <LibCore/RefCounted.h>
#include <LibNet/EventLoop.h>
#include <LibNet/OutputBuffer.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

namespace Sapphire {

/// Handles the events of a connection. No function is called after StreamConnection::close().
class StreamConnectionListener
{
public:
    virtual ~StreamConnectionListener() = default;

    /// An outgoing connection is established.
    virtual void connectionEstablished() = 0;
    /// Called for each piece of input.
    virtual void bytesReceived(std::string_view bytes) = 0;
    /// The peer sends nothing more. With `isBroken`, the connection has failed, so that what arrived may be less than
    /// what the peer sent, and nothing can be sent either.
    virtual void peerClosed(bool isBroken) = 0;
    /// The kernel has accepted all pending output. Never called from within send().
    virtual void outputDrained() = 0;
};

/// How the kernel detects a peer that vanished without closing the connection. Zero disables a check.
struct LivenessSettings
{
    /// The connection fails if the peer's machine acknowledges nothing for this long, neither bytes on their way
    /// (TCP_USER_TIMEOUT) nor probes. A peer that acknowledges but has no room for more bytes is waited for; whether
    /// its machine still answers is known only at the kernel's probes, whose intervals grow with the time it has no
    /// room.
    Milliseconds unacknowledgedLimit { 0 };
    /// A connection on which nothing arrives for this long is probed once a second and fails after two lost probes.
    std::chrono::seconds probeAfter { 0 };
    /// Whether the connection fails as soon as the peer closes its side while reading is paused. What the peer has sent
    /// before is not read any more.
    bool failsOnCloseWhilePaused { false };
};

/// A non-blocking TCP connection. Output that the kernel doesn't accept at once is buffered and sent later.
class StreamConnection final : public RefCounted<StreamConnection>, private DescriptorListener
{
public:
    /// Takes over an accepted connection.
    static RefPointer<StreamConnection> adopt(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                              const LivenessSettings &liveness, StreamConnectionListener &listener);
    /// Starts to connect. Fails with Unavailable if that fails at once.
    [[nodiscard]] static Result<RefPointer<StreamConnection>> connect(EventLoop &loop,
                                                                      const Poco::Net::SocketAddress &address,
                                                                      const LivenessSettings &liveness,
                                                                      StreamConnectionListener &listener);
    ~StreamConnection() override;

    void send(std::string_view bytes);
    /// Returns how many bytes the kernel has not accepted yet.
    std::size_t pendingOutput() const
    {
        return m_output.size();
    }
    /// Whether the kernel has accepted any byte.
    bool hasSent() const
    {
        return m_hasSent;
    }
    /// Stops or resumes reading. That the peer closes its side is noticed only while reading, unless
    /// LivenessSettings::failsOnCloseWhilePaused is set.
    void setReading(bool isReading);
    /// Sends pending output, then shuts down the sending side.
    void finishOutput();
    /// Closes at once. Pending output is dropped.
    void close();
    /// Closes with a reset (RST), so that the peer can't mistake a cut answer for a complete one.
    void reset();
    bool isOpen() const
    {
        return m_isOpen;
    }
    /// Whether the connection is open and no error has occurred on it. After an error, what had arrived is still
    /// delivered before the listener is notified of the end.
    bool isSound() const
    {
        return m_isOpen && !m_hasFailed;
    }

private:
    StreamConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket, StreamConnectionListener &listener);

    void applyLiveness(const LivenessSettings &liveness);
    void descriptorReady(const DescriptorEvents &events) override;
    void finishConnecting();
    void receive();
    std::size_t receivePiece();
    void flush();
    void sendingFailed();
    void closeFailed();
    void startProgressTimer();
    void checkProgress();
    void setUserTimeout(Milliseconds limit);
    void closeBroken();
    void updateInterest();

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    int m_descriptor;
    StreamConnectionListener *m_listener;
    OutputBuffer m_output;
    Milliseconds m_unacknowledgedLimit { 0 };
    Milliseconds m_userTimeout { 0 }; ///< As the kernel has it.
    std::size_t m_sentUnchecked { 0 }; ///< Bytes that were sent since all were known to be acknowledged.
    Timer m_progressTimer;
    bool m_isOpen { true };
    bool m_isConnecting { false };
    bool m_isReading { true };
    bool m_hasPeerClosed { false };
    bool m_hasFailed { false };
    bool m_failsOnCloseWhilePaused { false };
    bool m_hasSent { false };
    bool m_isFinishing { false };
};

} // namespace Sapphire
