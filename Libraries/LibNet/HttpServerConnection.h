#pragma once

#include <LibNet/HttpRequestHandler.h>
#include <LibNet/StreamConnection.h>

namespace Sapphire {

/// A connection from a caller. Reads requests one after the other, passes each to a handler and writes the answer.
class HttpServerConnection final : public RefCounted<HttpServerConnection>, private StreamConnectionListener
{
public:
    /// Serves the connection until it ends. The factory and the policy must outlive it.
    static RefPointer<HttpServerConnection> create(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                                                   HttpHandlerFactory &factory, const HttpServerPolicy &policy);

    ~HttpServerConnection() override;

    /// Writes the head of the current request's answer.
    void startAnswer(const HttpAnswerHead &head);
    void writeBody(std::string_view bytes);
    /// Ends the answer. Also closes the connection if the request was not read completely or either side wants to
    /// close. If the caller has not read so much of the answer by the deadline that the kernel can take the rest, the
    /// connection is reset.
    void finishAnswer(Deadline readBy);
    /// Resets the connection, so that the caller can't mistake a partial answer for a complete one.
    void abortAnswer();
    /// Writes a complete answer, which the caller has some seconds to read.
    void answer(const HttpAnswerHead &head, std::string_view body);

    std::size_t pendingOutput() const
    {
        return m_stream->pendingOutput();
    }
    /// Stops or resumes reading the body of the request.
    void setReading(bool isReading);
    bool isOpen() const
    {
        return m_stream->isOpen();
    }

private:
    HttpServerConnection(EventLoop &loop, HttpHandlerFactory &factory, const HttpServerPolicy &policy);

    void connectionEstablished() override;
    void bytesReceived(std::string_view bytes) override;
    void peerClosed(bool isBroken) override;
    void outputDrained() override;

    void advance();
    bool feedParser();
    void beginRequest();
    void passBody();
    void requestFailed(const Error &error);
    void endRequest();
    void close();
    void closeAfterOutput();
    /// Limits the time until the answer is read or, once the kernel has taken it over, until the caller's next bytes.
    void startTimer();
    void timeout();
    bool mayKeep() const;

    EventLoop &m_loop;
    HttpHandlerFactory &m_factory;
    const HttpServerPolicy &m_policy;
    RefPointer<StreamConnection> m_stream;
    HttpParser m_parser;
    std::string m_input; ///< Received, but not parsed yet.
    RefPointer<HttpRequestHandler> m_handler; ///< Of the request in progress.
    Timer m_timer;
    Deadline m_answerReadBy; ///< When the connection is reset if output is still pending.
    bool m_isAnswerStarted { false };
    bool m_isAnswerFinished { false };
    bool m_isChunked { false };
    /// What the answer's head announced. The caller may send another request although a stop has begun since.
    bool m_isKept { false };
    bool m_hasNoAnswerBody { false };
    bool m_isHeadRequest { false };
    bool m_isAdvancing { false };
    bool m_isLingering { false }; ///< The last answer was written; what the caller still sends is dropped.
};

} // namespace Sapphire
