#pragma once

#include <LibCore/Metrics.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/HealthChecker.h>
#include <LibGateway/QuotaWaiters.h>
#include <LibGateway/RequestDispatcher.h>
#include <LibGateway/TargetNoticeReader.h>
#include <LibNet/HttpListener.h>
#include <LibSteering/CustomerQuotas.h>
#include <LibSteering/RulesHistory.h>
#include <LibSteering/ServiceRetryBudget.h>
#include <LibSteering/ServiceSplit.h>

#include <memory>
#include <set>

namespace Sapphire {

/// Accepts callers' requests, applies the rules and the limits of customers, and has targets run the requests. Must be
/// used on the thread of its event loop only.
class Gateway final : private HttpHandlerFactory, private HttpServerPolicy
{
public:
    /// Listens for callers. Fails with Unavailable if the address can't be used.
    [[nodiscard]] static Result<std::unique_ptr<Gateway>> create(EventLoop &loop, GatewaySettings settings,
                                                                 Metrics &metrics);
    ~Gateway() override;

    /// Applies a newer version of the operator's rules; older ones are ignored. `origin` is the VM that sent them;
    /// empty if they were read from the platform.
    void applyRules(const RefPointer<const ServingRules> &rules, const VmId &origin = {});
    /// Sets the function that tells when the rules were last known to be current.
    void setRulesConfirmation(std::function<RulesConfirmation()> confirmation)
    {
        m_rulesConfirmation = std::move(confirmation);
    }
    /// Applies a change of the target list.
    void applyTargets(const TargetListChange &change);
    void applyEvacuations(const std::set<AvailabilityZoneId> &zones);
    /// Sets the VMs among which limits are divided, this one included.
    void applyVms(const VmsByRegion &vms);

    /// Applies changed limits of the platform. Addresses and names stay as they are.
    void reconfigure(const GatewaySettings &settings);

    /// Begins a planned stop. `onStopped` is called shortly before the stop timeout, when all requests are answered.
    void leave(std::function<void()> onStopped);
    /// Whether callers may be sent here.
    bool isReady() const;

    EventLoop &loop()
    {
        return m_loop;
    }
    /// Returns the address on which it listens for callers.
    Poco::Net::SocketAddress address() const
    {
        return m_listener->address();
    }
    const WireNames &names() const
    {
        return m_settings.names;
    }
    const RefPointer<const ServingRules> &rules() const
    {
        return m_rules.current();
    }
    const RulesHistory &rulesHistory() const
    {
        return m_rules;
    }
    RulesConfirmation rulesConfirmation() const
    {
        return m_rulesConfirmation();
    }
    /// Whether the rules were known to be current so lately that they can't lack a change that is in force.
    bool areRulesCurrent() const;
    CustomerQuotas &quotas()
    {
        return m_quotas;
    }
    CrashMonitor &crashMonitor()
    {
        return m_crashMonitor;
    }
    /// Sets the function that broadcasts a request that may crash targets to the other VMs.
    void setSuspectBroadcaster(std::function<void(const CrashSuspect &)> broadcaster)
    {
        m_suspectBroadcaster = std::move(broadcaster);
    }
    QuotaWaiters &quotaWaiters()
    {
        return m_quotaWaiters;
    }
    ServiceSplit &split()
    {
        return m_split;
    }
    TargetNoticeReader &noticeReader()
    {
        return m_noticeReader;
    }
    RequestDispatcher &dispatcher()
    {
        return m_dispatcher;
    }
    /// Whether new requests are refused because the process is about to stop.
    bool refusesNewRequests() const;
    /// When a stopping VM answers all requests that still run; never if it isn't stopping.
    Deadline stopsAt() const
    {
        return m_stopsAt;
    }
    bool mayRetry(const ServiceId &service);
    /// Returns when a caller may retry a request if the reason of its refusal ends within moments or concerns this VM
    /// only.
    Deadline shortRetryTime() const;

    void noteBegun(GatewayRequest &request);
    void noteSent(const GatewayRequest &request, bool isRetry);
    void noteAnswered(const GatewayRequest &request, RequestAttempt &attempt);
    void noteFailed(const GatewayRequest &request, RequestAttempt &attempt, const AttemptFailure &failure);
    void noteTimeout(const GatewayRequest &request, RequestAttempt &attempt);
    void noteRefused(const Refusal &refusal);
    /// The rules don't allow a request. `isFinal` tells whether its caller is told so, or is asked to come back.
    void noteRefusedByRules(RefusalReason reason, bool isFinal);
    /// The target accepts no connections, or has restarted.
    void noteTargetDied(const TargetId &target);
    void noteEnded(GatewayRequest &request);

private:
    Gateway(EventLoop &loop, GatewaySettings settings, Metrics &metrics);

    RefPointer<HttpRequestHandler> createHandler() override;
    HttpServerLimits limits() const override;
    HttpAnswerHead headTooLargeAnswer() const override;
    bool isClosing() const override;
    void divideRetryBudget();
    void answerRemaining();
    void housekeep();

    EventLoop &m_loop;
    GatewaySettings m_settings;
    VmsByRegion m_vms; ///< The VMs among which limits are divided.
    Metrics &m_metrics;
    RulesHistory m_rules;
    std::function<RulesConfirmation()> m_rulesConfirmation;
    TargetRegistry m_targets;
    ServiceSplit m_split;
    ServiceRetryBudget m_retryBudget;
    CustomerQuotas m_quotas;
    QuotaWaiters m_quotaWaiters;
    CrashMonitor m_crashMonitor;
    std::function<void(const CrashSuspect &)> m_suspectBroadcaster { [](const CrashSuspect &) {} };
    TargetNoticeReader m_noticeReader;
    RequestDispatcher m_dispatcher;
    HealthChecker m_healthChecker;
    std::unique_ptr<HttpListener> m_listener;
    /// Requests in progress. One whose caller has left may still be running at a target.
    std::set<RefPointer<GatewayRequest>> m_active;
    Timer m_housekeeping;
    Timer m_stopTimer;
    Timer m_exitTimer;
    bool m_hasTargets { false };
    bool m_isLeaving { false };
    Deadline m_stopsAt { Deadline::never() };
    Deadline m_refuseFrom; ///< When a stopping VM begins to refuse new requests.
    std::function<void()> m_onStopped;
};

} // namespace Sapphire
