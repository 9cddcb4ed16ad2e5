#pragma once

#include <LibGateway/CallerRequest.h>
#include <LibGateway/GatewayTarget.h>
#include <LibSteering/Warmth.h>

namespace Sapphire {

class RequestAttempt;

/// What was expected of an attempt when its target was chosen.
struct AttemptForecast
{
    Warmth cacheExpectation { Warmth::Unlikely };
    bool isCold { false }; ///< The target had started a moment before.
    bool hasFreeSlot { false };
    Microseconds roundTrip {};
    Microseconds time {}; ///< Until the answer.
};

/// Why an attempt brought no answer that can be passed on.
struct AttemptFailure
{
    enum class Kind {
        Shed, ///< The target turned the request away and has not run it.
        WrongTarget, ///< Another target has the address now; the request has not run.
        NotConnected, ///< The target has seen nothing of the request.
        Broken, ///< The connection broke.
        Malformed, ///< The target sent no valid answer.
    };

    Kind kind { Kind::Broken };
    Verdict verdict { Verdict::MayHaveRun };
    /// The connection had been idle and may have been closed already when the request was sent.
    bool isStaleConnection { false };
    std::string detail;
};

/// Whoever made an attempt is told how it goes. No function is called after attemptFinished(), attemptFailed() and
/// RequestAttempt::abandon().
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// The answer is whole, or too large or slow to wait for its end. Its body so far is in the attempt. Returns
    /// whether the owner takes it; otherwise the attempt has ended, and the owner may be gone.
    [[nodiscard]] virtual bool attemptAnswered(RequestAttempt &attempt) = 0;
    /// More of the body has come after attemptAnswered().
    virtual void attemptBody(RequestAttempt &attempt, std::string_view bytes) = 0;
    /// The answer is whole. Also called after attemptAnswered() with a whole answer.
    virtual void attemptFinished(RequestAttempt &attempt) = 0;
    /// Nothing more will come.
    virtual void attemptFailed(RequestAttempt &attempt, const AttemptFailure &failure) = 0;
    /// The target has taken what was sent.
    virtual void attemptDrained(RequestAttempt &attempt) = 0;
};

/// One request sent to one target once. Holds a short answer back until it is whole, so that an answer that is cut can
/// be replaced by another target's.
class RequestAttempt final : public RefCounted<RequestAttempt>, private TargetSessionListener
{
public:
    RequestAttempt(EventLoop &loop, const WireNames &names, RefPointer<GatewayTarget> target,
                   const AttemptForecast &forecast, AttemptOwner &owner);
    ~RequestAttempt() override;

    /// Sends the head and the body as far as it is known. Fails with Unavailable if there is no connection.
    /// Connections that were idle since before `usedSince` are not used.
    [[nodiscard]] Result<void> start(const TargetRequestHead &head, std::string_view body, bool isBodyComplete,
                                     TimePoint usedSince);
    /// Sends more of the body. The last call, possibly without bytes, says that it is complete.
    void sendBody(std::string_view bytes, bool isComplete);
    /// Ends the attempt and makes the target drop the request.
    void abandon();

    const AttemptForecast &forecast() const
    {
        return m_forecast;
    }
    GatewayTarget &target()
    {
        return *m_target;
    }
    /// The head of the answer, once it has arrived.
    const HttpHead &answer() const
    {
        return m_answer;
    }
    bool isAnswerWhole() const
    {
        return m_isAnswerWhole;
    }
    /// Returns the body that has come before attemptAnswered().
    const std::string &body() const
    {
        return m_body;
    }
    TimePoint startedAt() const
    {
        return m_startedAt;
    }
    /// When the head of the answer arrived.
    TimePoint answeredAt() const
    {
        return m_answeredAt;
    }
    const std::optional<LoadReport> &load() const
    {
        return m_load;
    }
    std::size_t pendingOutput() const
    {
        return m_session ? m_session->pendingOutput() : 0;
    }
    void setReading(bool isReading);
    bool isOver() const
    {
        return m_isOver;
    }
    /// Whether the target may have run the request if the attempt ended now.
    Verdict verdict() const
    {
        return m_session && m_session->mayHaveReceivedRequest() ? Verdict::MayHaveRun : Verdict::NotRun;
    }

private:
    void answerStarted(const HttpHead &head) override;
    void answerBody(std::string_view bytes) override;
    void answerFinished() override;
    void exchangeFailed(SessionFailure failure, const std::string &detail) override;
    void requestDrained() override;

    bool isNotRun() const;
    bool hasSeal() const;
    void deliverAnswer();
    void end();
    void fail(AttemptFailure::Kind kind, Verdict verdict, std::string detail);

    EventLoop &m_loop;
    const WireNames &m_names;
    RefPointer<GatewayTarget> m_target;
    AttemptForecast m_forecast;
    AttemptOwner &m_owner;
    RefPointer<TargetSession> m_session;
    Timer m_holdTimer; ///< Ends the wait for a short answer's end.
    HttpHead m_answer;
    std::string m_body;
    std::optional<LoadReport> m_load;
    TimePoint m_startedAt {};
    TimePoint m_answeredAt {};
    bool m_isChunkedBody { false };
    bool m_isBodySent { false };
    bool m_isAnswerDelivered { false };
    bool m_isAnswerWhole { false };
    bool m_wasIdleConnection { false };
    bool m_isOver { false };
};

} // namespace Sapphire
