#pragma once

#include <LibGateway/WireNames.h>
#include <LibNet/HttpParser.h>
#include <LibNet/StreamConnection.h>

#include <optional>

namespace Sapphire {

/// How an exchange with a target failed.
enum class SessionFailure {
    NotConnected, ///< The connection was refused or not established; the target has received nothing.
    NotSent, ///< The connection broke before the kernel took the first byte of the request.
    Broken, ///< The connection broke afterwards; the request may have run.
    Malformed, ///< The target sent bytes that are no HTTP answer; the request may have run.
};

/// Receives the answer to a request. No function is called after answerFinished(), exchangeFailed() and
/// TargetSession::abandon().
class TargetSessionListener
{
public:
    virtual ~TargetSessionListener() = default;

    virtual void answerStarted(const HttpHead &head) = 0;
    virtual void answerBody(std::string_view bytes) = 0;
    virtual void answerFinished() = 0;
    virtual void exchangeFailed(SessionFailure failure, const std::string &detail) = 0;
    /// Output that had to wait has been sent to the target.
    virtual void requestDrained() = 0;
};

/// A connection to a target that carries one request at a time.
class TargetSession final : public RefCounted<TargetSession>, private StreamConnectionListener
{
public:
    /// Begins to connect. `onConnected` gets the time that this took; `onLostWhileIdle` is called if the target closes
    /// the connection while no request uses it. Fails with Unavailable if connecting fails at once.
    [[nodiscard]] static Result<RefPointer<TargetSession>>
    create(EventLoop &loop, const Poco::Net::SocketAddress &address, const WireNames &names,
           std::function<void(Microseconds)> onConnected, std::function<void()> onLostWhileIdle);

    ~TargetSession() override;

    /// Sends the beginning of a request. The target echoes the id; answers with another one, or with none on a
    /// connection that was used before, belong to earlier requests and are dropped. With an empty id any answer is
    /// accepted.
    void begin(TargetSessionListener &listener, std::string_view bytes, std::string requestId, bool isHead);
    void sendMore(std::string_view bytes);
    /// Notes that the request has been passed to begin() and sendMore() to its end. Before that, and before all of it
    /// is sent, the end of the connection is not the end of an answer without a length.
    void completeRequest()
    {
        m_isRequestComplete = true;
    }
    std::size_t pendingOutput() const
    {
        return m_stream->pendingOutput();
    }
    void setReading(bool isReading)
    {
        m_stream->setReading(isReading);
    }
    /// Closes the connection, which makes the target drop the request.
    void abandon();

    /// Whether the next request may use the connection. Set once an exchange has finished.
    bool isReusable() const
    {
        return m_isReusable && m_stream->isSound();
    }
    bool isConnected() const
    {
        return m_isConnected;
    }
    /// Whether the target may have received any of the current request.
    bool mayHaveReceivedRequest() const
    {
        return isReused() || m_stream->hasSent();
    }
    /// Whether an earlier request used the connection.
    bool isReused() const
    {
        return m_exchanges > 1;
    }
    TimePoint idleSince() const
    {
        return m_idleSince;
    }
    /// When the target will close the connection if it stays idle; never if it does not announce that.
    Deadline idleEnd() const
    {
        return m_idleEnd;
    }

private:
    TargetSession(EventLoop &loop, const WireNames &names, std::function<void(Microseconds)> onConnected,
                  std::function<void()> onLostWhileIdle);

    void connectionEstablished() override;
    void bytesReceived(std::string_view bytes) override;
    void peerClosed(bool isBroken) override;
    void outputDrained() override;

    void feed(std::string_view bytes);
    void deliverHead();
    bool isForeignAnswer() const;
    /// Whether the end of the connection completes the answer being read.
    bool endsAnswer() const;
    /// Whether the answer says to which request it belongs, as far as the request had an id.
    bool namesRequest() const;
    void messageComplete();
    void finish(bool isReusable);
    void connectTimeout();
    void failExchange(SessionFailure failure, const std::string &detail);

    EventLoop &m_loop;
    const WireNames &m_names;
    std::function<void(Microseconds)> m_onConnected;
    std::function<void()> m_onLostWhileIdle;
    TimePoint m_createdAt;
    RefPointer<StreamConnection> m_stream;
    HttpParser m_parser;
    Timer m_connectTimer;
    TargetSessionListener *m_listener { nullptr };
    std::string m_requestId;
    bool m_isHead { false };
    bool m_isRequestComplete { false };
    bool m_isConnected { false };
    bool m_isReusable { false };
    bool m_isHeadDelivered { false };
    bool m_isDropping { false }; ///< The answer being read belongs to an earlier request.
    bool m_hasDropped { false };
    std::size_t m_droppedBytes { 0 }; ///< Received during the current exchange and not part of its answer.
    int m_exchanges { 0 };
    TimePoint m_idleSince {};
    Deadline m_idleEnd { Deadline::never() };
};

} // namespace Sapphire
