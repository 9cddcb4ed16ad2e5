#include <LibGateway/Gateway.h>

#include <LibCore/Duration.h>
#include <LibGateway/GatewayEvents.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibNet/SocketAddresses.h>

#include <algorithm>
#include <cmath>

namespace Sapphire {

namespace {

constexpr Milliseconds housekeepingInterval { 500 };
// A stopping VM accepts requests for this part of its stop timeout, since callers with older look-ups still use it.
constexpr double acceptingPart = 0.4;
// It keeps running for this part, to finish requests and refuse new ones.
constexpr double stayingPart = 0.9;
// Time to send the last answers before the process ends.
constexpr Milliseconds lastAnswerTime { 100 };
constexpr Milliseconds shortRetry { 100 };
// The VM uses only these parts of its share of the retry budget: other VMs may know of fewer or more VMs for a while,
// and requests are counted where they arrive, a little later than they are sent.
constexpr double usableSlack = 0.7;
constexpr double usableRatio = 0.9;

/// Returns the customers' rates and bursts for the log.
std::string limitsText(const ServingRules &rules)
{
    std::string text;
    for (const CustomerRules &customer : rules.customers()) {
        text += text.empty() ? "" : " ";
        text += customer.id.text() + "=" + std::to_string(std::lround(customer.ratePerSecond)) + "/"
            + std::to_string(std::lround(customer.burst));
    }
    return text;
}

} // namespace

Gateway::Gateway(EventLoop &loop, GatewaySettings settings, Metrics &metrics)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_rulesConfirmation([&loop] {
        return RulesConfirmation { loop.now(), false };
    })
    , m_targets(loop, m_settings.names, m_settings.regionsByZone)
    , m_retryBudget(m_settings.retryBudget)
    , m_quotas(m_settings.vm, m_settings.quota)
    , m_quotaWaiters(loop, m_quotas)
    , m_crashMonitor([this](const CrashSuspect &suspect) {
        logEvent(GatewayEvents::crashSuspected,
                 { { "fingerprint", suspect.fingerprint }, { "crashes", suspect.crashes } });
        m_suspectBroadcaster(suspect);
    })
    , m_noticeReader(loop, m_settings.names, metrics)
    , m_dispatcher(*this, m_targets, m_settings.locality)
    , m_healthChecker(
          loop, m_settings.names, m_targets, m_noticeReader,
          [this](const ServiceId &service) {
              m_dispatcher.capacityChanged(service);
          },
          [this](const TargetId &target) {
              noteTargetDied(target);
          })
    , m_housekeeping(loop,
                     [this] {
                         housekeep();
                     })
    , m_stopTimer(loop,
                  [this] {
                      answerRemaining();
                  })
    , m_exitTimer(loop, [this] {
        m_onStopped();
    })
{
    m_housekeeping.start(Deadline::after(loop.now(), housekeepingInterval));
    divideRetryBudget();
}

Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::create(EventLoop &loop, GatewaySettings settings, Metrics &metrics)
{
    const Poco::Net::SocketAddress address = socketAddressOf(settings.callerAddress);
    std::unique_ptr<Gateway> gateway(new Gateway(loop, std::move(settings), metrics));
    BOOST_LEAF_ASSIGN(gateway->m_listener, HttpListener::create(loop, address, *gateway, *gateway));
    logEvent(GatewayEvents::gatewayStarted, { { "vm", gateway->m_settings.vm }, { "address", address.toString() } });
    return gateway;
}

void Gateway::applyRules(const RefPointer<const ServingRules> &rules, const VmId &origin)
{
    if (!m_rules.apply(rules, origin)) {
        return;
    }
    m_split.retain(*rules);
    m_quotas.applyRules(rules, m_loop.now());
    m_targets.applyColdStart(rules, m_settings.coldStart);
    m_healthChecker.applyRules(rules);
    m_dispatcher.applyRules(rules);
    logEvent(GatewayEvents::rulesInForce,
             { { "configuration", rules->version() },
               { "routes", rules->routes().size() },
               { "services", rules->services().size() },
               { "customers", rules->customers().size() },
               { "keys", rules->keyCount() },
               { "unreadable", rules->unreadableEntries() },
               { "origin", origin },
               { "limits", limitsText(*rules) } });
}

void Gateway::applyTargets(const TargetListChange &change)
{
    m_hasTargets = true;
    m_targets.applyChange(change);
}

void Gateway::applyEvacuations(const std::set<AvailabilityZoneId> &zones)
{
    m_targets.applyEvacuations(zones);
}

void Gateway::applyVms(const VmsByRegion &vms)
{
    if (vms == m_vms) {
        return;
    }
    m_vms = vms;
    m_quotas.applyVms(vms, m_loop.now());
    m_targets.applyVms(vms, m_settings.vm);
    divideRetryBudget();
}

void Gateway::reconfigure(const GatewaySettings &settings)
{
    m_settings.stopTimeout = settings.stopTimeout;
    m_settings.retryBudget = settings.retryBudget;
    m_settings.quota = settings.quota;
    m_settings.rulesPropagationTime = settings.rulesPropagationTime;
    m_settings.coldStart = settings.coldStart;
    m_quotas.configure(m_settings.quota, m_loop.now());
    if (rules()) {
        m_targets.applyColdStart(rules(), m_settings.coldStart);
    }
    divideRetryBudget();
}

void Gateway::divideRetryBudget()
{
    // Until the list of VMs is known, this VM uses nothing of the shared budget.
    RatioBudgetSettings budget { 0, 0, m_settings.retryBudget.window };
    if (!m_vms.isEmpty()) {
        budget.ratio = m_settings.retryBudget.ratio * usableRatio;
        budget.slack = m_settings.retryBudget.slack * usableSlack / static_cast<double>(m_vms.vmCount());
    }
    m_retryBudget.configure(budget);
}

bool Gateway::isReady() const
{
    return rules() && m_hasTargets && !m_isLeaving;
}

void Gateway::leave(std::function<void()> onStopped)
{
    if (m_isLeaving) {
        return;
    }
    // Open connections stay, since a request may be on its way on each of them; the answers ask callers to close them.
    m_isLeaving = true;
    m_onStopped = std::move(onStopped);
    const TimePoint now = m_loop.now();
    m_refuseFrom = Deadline::after(now, scaled(m_settings.stopTimeout, acceptingPart));
    logEvent(GatewayEvents::gatewayLeaving, { { "vm", m_settings.vm }, { "requests", m_active.size() } });
    m_stopsAt = Deadline::after(now, scaled(m_settings.stopTimeout, stayingPart));
    m_stopTimer.start(m_stopsAt);
}

void Gateway::answerRemaining()
{
    logEvent(GatewayEvents::gatewayStopped, { { "vm", m_settings.vm }, { "requests", m_active.size() } });
    const std::set<RefPointer<GatewayRequest>> remaining = m_active;
    for (const RefPointer<GatewayRequest> &request : remaining) {
        request->giveUp();
    }
    m_exitTimer.start(Deadline::after(m_loop.now(), lastAnswerTime));
}

bool Gateway::refusesNewRequests() const
{
    return m_isLeaving && m_refuseFrom.hasPassed(m_loop.now());
}

bool Gateway::areRulesCurrent() const
{
    const RulesConfirmation confirmation = m_rulesConfirmation();
    const Deadline currentUntil = Deadline::after(confirmation.at, m_settings.rulesPropagationTime);
    return rules() && !confirmation.isSuperseded && !currentUntil.hasPassed(m_loop.now());
}

bool Gateway::mayRetry(const ServiceId &service)
{
    return m_retryBudget.mayRetry(service, m_loop.now());
}

Deadline Gateway::shortRetryTime() const
{
    return Deadline::after(m_loop.now(), shortRetry);
}

void Gateway::noteBegun(GatewayRequest &request)
{
    m_active.insert(&request);
}

void Gateway::noteSent(const GatewayRequest &request, bool isRetry)
{
    if (isRetry) {
        m_retryBudget.noteRetry(request.service(), m_loop.now());
    } else {
        m_retryBudget.noteRequest(request.service(), m_loop.now());
    }
}

void Gateway::noteAnswered(const GatewayRequest &request, RequestAttempt &attempt)
{
    GatewayTarget &target = attempt.target();
    target.noteAnswered();
    if (!TargetNoticeReader::isTurnedAway(attempt.answer())) {
        m_dispatcher.noteAnswer(request, attempt);
    }
    if (attempt.rateLimit() || !attempt.namesRateLimit()) {
        m_dispatcher.noteRateLimit(target, attempt.rateLimit());
    }
    m_crashMonitor.noteAnswered(request.fingerprint(), m_loop.now());
    m_metrics.counter("sapphire_requests_total", "outcome=\"answered\"").add();
    const std::string statusClass = std::to_string(attempt.answer().status / 100) + "xx";
    m_metrics
        .counter("sapphire_target_answers_total",
                 "class=\"" + statusClass + "\",sealed=\"" + (attempt.isSealed() ? "yes" : "no") + "\"")
        .add();
    m_metrics.histogram("sapphire_request_seconds").record(m_loop.now() - request.arrivedAt());
    m_dispatcher.capacityChanged(request.service());
}

void Gateway::noteFailed(const GatewayRequest &request, RequestAttempt &attempt, const AttemptFailure &failure)
{
    GatewayTarget &target = attempt.target();
    const TimePoint now = m_loop.now();
    bool causesEjection = false;
    const bool isTargetsFault = failure.kind != AttemptFailure::Kind::Shed && !failure.isStaleConnection;
    if (failure.verdict != Verdict::NotRun && isTargetsFault) {
        target.quality().noteFailure(now);
    }
    if (attempt.rateLimit()) {
        m_dispatcher.noteRateLimit(target, attempt.rateLimit());
    }
    switch (failure.kind) {
    case AttemptFailure::Kind::Shed:
        target.load().noteShed(now);
        break;
    case AttemptFailure::Kind::WrongTarget:
    case AttemptFailure::Kind::NotConnected:
        causesEjection = !target.failures().isEjected();
        target.noteUnreachable(now);
        target.setUnverified();
        target.closeIdle(true);
        noteTargetDied(target.id());
        break;
    case AttemptFailure::Kind::Broken:
        // The target may have restarted, with empty caches.
        target.setUnverified();
        m_crashMonitor.noteConnectionLost(target.id(), request.fingerprint(), now);
        causesEjection = !failure.isStaleConnection && target.noteFailure(now);
        break;
    case AttemptFailure::Kind::Malformed:
        causesEjection = target.noteFailure(now);
        break;
    }
    if (causesEjection) {
        logEvent(GatewayEvents::targetOut, { { "target", target.id() }, { "detail", failure.detail } });
    }
    m_dispatcher.capacityChanged(request.service());
}

void Gateway::noteTimeout(const GatewayRequest &request, RequestAttempt &attempt)
{
    m_dispatcher.noteTimeout(attempt);
    if (attempt.target().noteFailure(m_loop.now())) {
        logEvent(GatewayEvents::targetOut, { { "target", attempt.target().id() }, { "detail", "no answer in time" } });
    }
    m_dispatcher.capacityChanged(request.service());
}

void Gateway::noteRefused(const Refusal &refusal)
{
    m_metrics.counter("sapphire_refusals_total", "reason=\"" + std::string(nameOf(refusal.reason)) + "\"").add();
}

void Gateway::noteRefusedByRules(RefusalReason reason, bool isFinal)
{
    m_metrics
        .counter("sapphire_rules_refusals_total",
                 "reason=\"" + std::string(nameOf(reason)) + "\",final=\"" + (isFinal ? "yes" : "no") + "\"")
        .add();
    m_metrics.histogram("sapphire_rules_refusal_age_seconds").record(m_loop.now() - m_rulesConfirmation().at);
}

void Gateway::noteTargetDied(const TargetId &target)
{
    const TargetDeath death = m_crashMonitor.noteTargetDied(target, m_loop.now());
    if (death.lost == 0) {
        return;
    }
    logEvent(GatewayEvents::targetLostRequests,
             { { "target", target },
               { "lostRequests", death.lost },
               { "blamedRequests", death.blamed },
               { "massDeath", death.isMassDeath } });
    const std::string blame = death.blamed > 0 ? "requests" : "none";
    m_metrics.counter("sapphire_target_deaths_total", "blame=\"" + blame + "\"").add();
}

void Gateway::noteEnded(GatewayRequest &request)
{
    m_active.erase(&request);
}

RefPointer<HttpRequestHandler> Gateway::createHandler()
{
    return makeRefCounted<GatewayRequest>(*this);
}

HttpServerLimits Gateway::limits() const
{
    HttpServerLimits limits;
    if (const RefPointer<const ServingRules> &current = rules()) {
        limits.headBytes = current->limits().headBytes;
        limits.headTimeout = current->limits().headTimeout;
        limits.idleTimeout = current->limits().idleTimeout;
    }
    return limits;
}

HttpAnswerHead Gateway::headTooLargeAnswer() const
{
    if (areRulesCurrent() && !rules()->limits().areSizesUnreadable) {
        return HttpServerPolicy::headTooLargeAnswer();
    }
    return headOf({ RefusalReason::NotFresh, Verdict::NotRun, "", shortRetryTime() }, m_loop.now());
}

bool Gateway::isClosing() const
{
    return m_isLeaving;
}

void Gateway::housekeep()
{
    m_targets.closeIdle();
    m_noticeReader.logEnds();
    m_crashMonitor.expire(m_loop.now());
    m_housekeeping.start(Deadline::after(m_loop.now(), housekeepingInterval));
}

} // namespace Sapphire
