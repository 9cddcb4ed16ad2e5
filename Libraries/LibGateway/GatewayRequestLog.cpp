#include <LibGateway/GatewayRequest.h>

#include <LibCore/Duration.h>
#include <LibCore/Hash.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/GatewayEvents.h>
#include <LibGateway/RefusalAnswer.h>

// The log events of a request, with the values on which decisions about it were based.

namespace Sapphire {

namespace {

// Enough of a key's hash to tell keys apart in the logs of all VMs.
constexpr std::size_t loggedHashDigits = 12;

} // namespace

void GatewayRequest::logRefusal(const Refusal &refusal) const
{
    logEvent(
        GatewayEvents::requestRefused,
        { { "request", m_caller.id },
          { "reason", nameOf(refusal.reason) },
          { "verdict", nameOf(refusal.verdict) },
          { "status", statusOf(refusal) },
          { "route", m_route != nullptr ? m_route->id : RouteId() },
          { "customer", m_customer != nullptr ? m_customer->id : CustomerId() },
          { "service", m_service },
          { "attempts", m_attempts },
          { "afterMilliseconds", millisecondsBetween(m_arrivedAt, m_loop.now()) },
          { "retryAfterMilliseconds", refusal.retryAt ? millisecondsBetween(m_loop.now(), refusal.retryAt->at()) : 0 },
          { "configuration", m_rules ? m_rules->version() : ConfigurationVersion() },
          { "detail", refusal.detail } });
}

void GatewayRequest::logRefusalByRules(RefusalReason reason, bool isFinal) const
{
    const RulesHistory &history = m_gateway.rulesHistory();
    const RulesConfirmation confirmation = m_gateway.rulesConfirmation();
    const ConfigurationVersion earlier = reason == RefusalReason::KeyRejected
        ? history.earlierVersionWithKey(m_caller.key)
        : history.earlierVersionWithRoute(m_caller.host, m_caller.path());
    logEvent(GatewayEvents::refusedByRules,
             { { "request", m_caller.id },
               { "reason", nameOf(reason) },
               { "final", isFinal },
               { "host", m_caller.host },
               { "keyHash", m_caller.key.empty() ? "" : sha256Hex(m_caller.key).substr(0, loggedHashDigits) },
               { "allowedByEarlier", earlier },
               { "configuration", m_rules->version() },
               { "origin", history.origin() },
               { "confirmedMillisecondsAgo", millisecondsBetween(confirmation.at, m_loop.now()) },
               { "superseded", confirmation.isSuperseded },
               { "epoch", confirmation.revision.epoch() },
               { "revision", confirmation.revision.number() },
               { "unreadable", m_rules->unreadableEntries() } });
}

void GatewayRequest::logFailure(RequestAttempt &attempt, const AttemptFailure &failure) const
{
    logEvent(GatewayEvents::attemptFailed,
             { { "request", m_caller.id },
               { "target", attempt.target().id() },
               { "attempt", m_attempts },
               { "verdict", nameOf(failure.verdict) },
               { "stale", failure.isStaleConnection },
               { "fingerprint", failure.kind == AttemptFailure::Kind::Broken ? m_fingerprint : Fingerprint() },
               { "afterMilliseconds", millisecondsBetween(attempt.startedAt(), m_loop.now()) },
               { "expectedMilliseconds", std::chrono::duration_cast<Milliseconds>(attempt.forecast().time).count() },
               { "detail", failure.detail } });
}

void GatewayRequest::logAnswer(RequestAttempt &attempt) const
{
    const std::optional<LoadReport> load = attempt.load();
    logEvent(GatewayEvents::requestAnswered,
             { { "request", m_caller.id },
               { "status", attempt.answer().status },
               { "sealed", attempt.isSealed() },
               { "route", m_route->id },
               { "customer", m_customer != nullptr ? m_customer->id : CustomerId() },
               { "service", m_service },
               { "object", m_caller.object },
               { "target", attempt.target().id() },
               { "zone", attempt.target().locality().availabilityZone },
               { "attempts", m_attempts },
               { "waitedMilliseconds", millisecondsBetween(m_arrivedAt, attempt.startedAt()) },
               { "targetMilliseconds", millisecondsBetween(attempt.startedAt(), attempt.answeredAt()) },
               { "expectedMilliseconds", std::chrono::duration_cast<Milliseconds>(attempt.forecast().time).count() },
               { "expectedWarm", nameOf(attempt.forecast().cacheExpectation) },
               { "expectedFree", attempt.forecast().hasFreeSlot },
               { "totalMilliseconds", millisecondsBetween(m_arrivedAt, m_loop.now()) },
               { "running", load ? load->running : -1 },
               { "waiting", load ? load->waiting : -1 },
               { "slots", load ? load->slots : -1 },
               { "configuration", m_rules->version() } });
}

} // namespace Sapphire
