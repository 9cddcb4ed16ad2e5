#pragma once

#include <LibExchange/Refusal.h>
#include <LibGateway/CrashMonitor.h>
#include <LibGateway/RequestAttempt.h>
#include <LibNet/HttpServerConnection.h>
#include <LibSteering/RequestQueueing.h>
#include <LibSteering/ServingRules.h>

#include <set>

namespace Sapphire {

class Gateway;

/// Handles one request of a caller, from its head to the end of its answer: checks and quotas, the wait for a target,
/// attempts at targets, and the answer or refusal.
class GatewayRequest final : public HttpRequestHandler, public AttemptOwner
{
public:
    explicit GatewayRequest(Gateway &gateway);
    ~GatewayRequest() override;

    void begin(HttpServerConnection &connection, const HttpHead &head) override;
    void bodyReceived(std::string_view bytes, bool isComplete) override;
    void callerGone() override;
    void outputDrained() override;

    /// Sends the request to the target. Called by the dispatcher.
    void sendTo(const RefPointer<GatewayTarget> &target, const AttemptForecast &forecast);
    /// The customer's quota allows the request. Called by QuotaWaiters.
    void quotaGranted();
    /// The customer's quota has no token before the given time. Called by QuotaWaiters.
    void quotaDenied(Deadline nextTokenAt);
    /// This VM doesn't know yet whether it holds a part of the customer's quota. Called by QuotaWaiters.
    void quotaUnknown();
    /// Ends the request without waiting for an answer any more. An answer that is already being sent gets a little more
    /// time, and is cut then. Called at the request's deadline, and by the gateway when the process stops.
    void giveUp();
    /// Ends the request with a refusal. Called by the dispatcher.
    void refuse(RefusalReason reason, Verdict verdict, const std::string &detail, std::optional<Deadline> retryAt = {});

    const CallerRequest &caller() const
    {
        return m_caller;
    }
    const Route &route() const
    {
        return *m_route;
    }
    const CustomerRules *customer() const
    {
        return m_customer;
    }
    const ServiceId &service() const
    {
        return m_service;
    }
    /// The rank among waiting requests; 0 is the most urgent.
    int priority() const;
    TimePoint arrivedAt() const
    {
        return m_arrivedAt;
    }
    RequestTimes times() const;
    /// Whether the target has been tried for this request.
    bool hasTried(const TargetId &target) const
    {
        return m_tried.contains(target);
    }
    bool isRetry() const
    {
        return m_attempts > 0;
    }
    /// The hash by which a repetition of the request is recognized.
    const Fingerprint &fingerprint() const
    {
        return m_fingerprint;
    }
    /// Whether the request may have run so far.
    Verdict verdict() const
    {
        return m_verdict;
    }
    /// Whether the route and the customer allow targets of the region.
    bool mayRunIn(const RegionId &region) const;
    /// The region outside of which route and customer allow no target, if there is just one.
    std::optional<RegionId> onlyRegion() const;

private:
    enum class State {
        New,
        AwaitingQuota,
        ReadingBody,
        Waiting, ///< In the dispatcher's queue, for a target.
        Running,
        Answering, ///< The answer's head has gone to the caller.
        Done,
    };

    bool admit();
    bool checkRoute();
    bool checkCustomer();
    /// Refuses the request as wrong by the rules. Refuses it only for now if this VM's rules may lack what allows it.
    void refuseByRules(RefusalReason reason, const std::string &detail);
    /// Whether the rules could not be read in the part that decides about the reason.
    bool mayRulesLack(RefusalReason reason) const;
    bool isBodyReady() const;
    void submit();

    void attemptHeadArrived(RequestAttempt &attempt) override;
    bool attemptAnswered(RequestAttempt &attempt) override;
    void attemptBody(RequestAttempt &attempt, std::string_view bytes) override;
    void attemptFinished(RequestAttempt &attempt) override;
    void attemptFailed(RequestAttempt &attempt, const AttemptFailure &failure) override;
    void attemptDrained(RequestAttempt &attempt) override;

    bool maySendAgain(const AttemptFailure &failure) const;
    bool retryInsteadOf(RequestAttempt &attempt);
    void failFor(const AttemptFailure &failure);
    void giveUpAnswer();
    /// Ends the request and resets the caller's connection, so that the answer doesn't look complete.
    void abortAnswer(RequestAttempt &attempt, const std::string &detail);
    void logRefusal(const Refusal &refusal) const;
    /// Logs what distinguishes a wrong request from one that this VM's rules lack.
    void logRefusalByRules(RefusalReason reason, bool isFinal) const;
    void logFailure(RequestAttempt &attempt, const AttemptFailure &failure) const;
    void logAnswer(RequestAttempt &attempt) const;
    void end();

    Gateway &m_gateway;
    EventLoop &m_loop;
    HttpServerConnection *m_connection { nullptr }; ///< Null once the caller is gone.
    RefPointer<const ServingRules> m_rules; ///< Keeps route and customer alive.
    const Route *m_route { nullptr };
    const CustomerRules *m_customer { nullptr };
    ServiceId m_service;
    CallerRequest m_caller;
    State m_state { State::New };
    TimePoint m_arrivedAt {};
    Deadline m_giveUpAt;
    Timer m_giveUpTimer;
    std::string m_body; ///< What has arrived and may have to be sent (again).
    std::uint64_t m_bodyBytes { 0 };
    bool m_isBodyComplete { false };
    bool m_isBodyKept { true }; ///< Whether m_body holds all that has arrived.
    Fingerprint m_fingerprint;
    RefPointer<RequestAttempt> m_attempt;
    int m_attempts { 0 };
    int m_unconnected { 0 }; ///< Attempts at targets that accepted no connection.
    std::set<TargetId> m_tried;
    Verdict m_verdict { Verdict::NotRun }; ///< Of the attempts that have ended.
    bool m_isCallerGone { false };
};

} // namespace Sapphire
