#pragma once

#include <LibGateway/CallerRequest.h>
#include <LibGateway/GatewayTarget.h>
#include <LibSteering/CacheExpectation.h>

namespace Sapphire {

class RequestAttempt;

/// What was expected of an attempt when its target was chosen.
struct AttemptForecast
{
    CacheExpectation cacheExpectation { CacheExpectation::Unlikely };
    bool isCold { false }; ///< The target's caches were presumed empty.
    bool hasFreeSlot { false };
    Microseconds roundTrip {};
    Microseconds time {}; ///< Until the answer.
};

/// Why an attempt brought no answer that can be forwarded.
struct AttemptFailure
{
    enum class Kind {
        Shed, ///< The target rejected the request, and has not run it if the verdict says so.
        WrongTarget, ///< Another target has the address now; the request has not run.
        NotConnected, ///< The target has received nothing of the request.
        Broken, ///< The connection broke.
        Malformed, ///< The target sent no valid answer.
    };

    Kind kind { Kind::Broken };
    Verdict verdict { Verdict::MayHaveRun };
    /// The connection had been idle and may have been closed already when the request was sent.
    bool isStaleConnection { false };
    std::string detail;
};

/// Receives the progress of an attempt. No function is called after attemptFinished(), attemptFailed() and
/// RequestAttempt::abandon().
class AttemptOwner
{
public:
    virtual ~AttemptOwner() = default;

    /// The head of the answer has arrived. Nothing is known yet about its body.
    virtual void attemptHeadArrived(RequestAttempt &attempt) = 0;
    /// The answer is complete, or too large or slow to be held back until it is. The attempt holds its body so far.
    /// Returns whether the owner takes the answer; otherwise the attempt has ended, and the owner may be destroyed.
    [[nodiscard]] virtual bool attemptAnswered(RequestAttempt &attempt) = 0;
    /// More of the body has arrived after attemptAnswered().
    virtual void attemptBody(RequestAttempt &attempt, std::string_view bytes) = 0;
    /// The answer is complete. Also called if it was complete at attemptAnswered().
    virtual void attemptFinished(RequestAttempt &attempt) = 0;
    /// The attempt has failed; nothing more will arrive.
    virtual void attemptFailed(RequestAttempt &attempt, const AttemptFailure &failure) = 0;
    /// Output that had to wait has been sent to the target.
    virtual void attemptDrained(RequestAttempt &attempt) = 0;
};

/// Sends a request to one target once. Holds a short answer back until it is complete, so that a truncated one can be
/// replaced by another target's.
class RequestAttempt final : public RefCounted<RequestAttempt>, private TargetSessionListener
{
public:
    RequestAttempt(EventLoop &loop, const WireNames &names, RefPointer<GatewayTarget> target,
                   const AttemptForecast &forecast, AttemptOwner &owner);
    ~RequestAttempt() override;

    /// Sends the head and what has arrived of the body. Fails with Unavailable if connecting fails at once.
    /// Connections that were idle since before `usedSince` are not used.
    [[nodiscard]] Result<void> start(const TargetRequestHead &head, std::string_view body, bool isBodyComplete,
                                     TimePoint usedSince);
    /// Sends more of the body. The last call, possibly without bytes, says that it is complete.
    void sendBody(std::string_view bytes, bool isComplete);
    /// Ends the attempt and closes the connection, so that the target drops the request.
    void abandon();

    const AttemptForecast &forecast() const
    {
        return m_forecast;
    }
    GatewayTarget &target()
    {
        return *m_target;
    }
    /// The Unix time at which the target had been started, as far as the list said when the attempt began.
    std::int64_t targetStartedAtMilliseconds() const
    {
        return m_targetStartedAtMilliseconds;
    }
    /// The head of the answer, once it has arrived.
    const HttpHead &answer() const
    {
        return m_answer;
    }
    /// Whether the answer bears the mark by which a target signs its answers.
    bool isSealed() const
    {
        return m_answer.header(m_names.seal).has_value();
    }
    bool isAnswerWhole() const
    {
        return m_isAnswerWhole;
    }
    /// Returns the body that has arrived before attemptAnswered().
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
    /// Whether the answer asks all VMs together to keep to a rate, readable or not.
    bool namesRateLimit() const
    {
        return m_answer.header(m_names.rateLimit).has_value();
    }
    /// The rate that the answer asks for, in requests a second; nothing if it names none that can be read.
    std::optional<double> rateLimit() const;
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
    /// Whether callers may take the answer for the target's. One without a seal may come from a stranger at the
    /// target's address; a redirection, an error of the caller's or a 503 would look like a refusal by this system.
    bool isCredible() const;
    void deliverAnswer();
    void end();
    /// The target says that it has not run the request.
    void failAsNotRun();
    void fail(AttemptFailure::Kind kind, Verdict verdict, std::string detail);

    EventLoop &m_loop;
    const WireNames &m_names;
    RefPointer<GatewayTarget> m_target;
    std::int64_t m_targetStartedAtMilliseconds;
    AttemptForecast m_forecast;
    AttemptOwner &m_owner;
    RefPointer<TargetSession> m_session;
    Timer m_holdTimer; ///< Limits how long a short answer is held back.
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
