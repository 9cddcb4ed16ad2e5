#include <LibGateway/GatewayRequest.h>

#include <LibGateway/Gateway.h>

#include <algorithm>

// The checks of a request against the rules, and the outcome of its customer's quota.

namespace Sapphire {

namespace {

bool contains(const std::vector<RegionId> &regions, const RegionId &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

bool GatewayRequest::admit()
{
    m_rules = m_gateway.rules();
    if (!m_rules) {
        refuse(RefusalReason::NotFresh, Verdict::NotRun, "no configuration yet", m_gateway.shortRetryTime());
        return false;
    }
    if (m_gateway.refusesNewRequests()) {
        refuse(RefusalReason::Draining, Verdict::NotRun, "this VM is stopping", m_gateway.shortRetryTime());
        return false;
    }
    if (m_caller.bodyBytes.value_or(0) > m_rules->limits().bodyBytes) {
        refuseByRules(RefusalReason::TooLarge, "the body is larger than the limit");
        return false;
    }
    return checkRoute() && checkCustomer();
}

bool GatewayRequest::checkRoute()
{
    m_route = m_rules->findRoute(m_caller.host, m_caller.path());
    if (m_route == nullptr) {
        refuseByRules(RefusalReason::NoSuchService, "no route for host and path");
        return false;
    }
    m_service = m_gateway.split().choose(*m_route);
    return true;
}

bool GatewayRequest::checkCustomer()
{
    if (!m_rules->areKeysRequired()) {
        return true;
    }
    m_customer = m_caller.key.empty() ? nullptr : m_rules->findCustomer(m_caller.key);
    if (m_route->isOpenToAll) {
        return true;
    }
    if (m_customer == nullptr) {
        refuseByRules(RefusalReason::KeyRejected, "unknown key");
        return false;
    }
    return true;
}

bool GatewayRequest::mayRulesLack(RefusalReason reason) const
{
    switch (reason) {
    case RefusalReason::NoSuchService:
        return m_rules->isRouteUncertain(m_caller.host, m_caller.path());
    case RefusalReason::KeyRejected:
        return m_rules->areKeysUncertain();
    default:
        return m_rules->limits().areSizesUnreadable;
    }
}

void GatewayRequest::refuseByRules(RefusalReason reason, const std::string &detail)
{
    const bool isFinal = m_gateway.areRulesCurrent() && !mayRulesLack(reason);
    m_gateway.noteRefusedByRules(reason, isFinal);
    logRefusalByRules(reason, isFinal);
    if (isFinal) {
        refuse(reason, Verdict::NotRun, detail);
        return;
    }
    refuse(RefusalReason::NotFresh, Verdict::NotRun, detail + ", but the rules may be out of date or incomplete",
           m_gateway.shortRetryTime());
}

void GatewayRequest::quotaGranted()
{
    const RefPointer<GatewayRequest> self(this);
    m_state = State::ReadingBody;
    if (isBodyReady()) {
        submit();
    }
}

void GatewayRequest::quotaDenied(Deadline nextTokenAt)
{
    // A VM without a share of the rate never has a token of its own, but it may borrow one, and so may other VMs.
    const bool hasOwnToken = nextTokenAt != Deadline::never();
    const Deadline retryAt = hasOwnToken ? nextTokenAt : m_gateway.dispatcher().retryTime(*this);
    refuse(RefusalReason::RateExceeded, Verdict::NotRun, "rate of " + m_customer->id.text() + " exceeded",
           std::max(retryAt, m_gateway.shortRetryTime()));
}

void GatewayRequest::quotaUnknown()
{
    refuse(RefusalReason::NotFresh, Verdict::NotRun,
           "the VMs that share the rate of " + m_customer->id.text() + " aren't known yet", m_gateway.shortRetryTime());
}

int GatewayRequest::priority() const
{
    return m_customer != nullptr && m_customer->priority ? *m_customer->priority : m_route->priority;
}

bool GatewayRequest::mayRunIn(const RegionId &region) const
{
    const bool isRouteAllowed = m_route->allowedRegions.empty() || contains(m_route->allowedRegions, region);
    const bool isCustomerAllowed =
        m_customer == nullptr || m_customer->allowedRegions.empty() || contains(m_customer->allowedRegions, region);
    return isRouteAllowed && isCustomerAllowed;
}

std::optional<RegionId> GatewayRequest::onlyRegion() const
{
    const bool isRouteBound = !m_route->allowedRegions.empty();
    if (!isRouteBound && (m_customer == nullptr || m_customer->allowedRegions.empty())) {
        return std::nullopt;
    }
    std::vector<RegionId> allowed = isRouteBound ? m_route->allowedRegions : m_customer->allowedRegions;
    std::erase_if(allowed, [this](const RegionId &region) {
        return !mayRunIn(region);
    });
    return allowed.size() == 1 ? std::optional(allowed.front()) : std::nullopt;
}

} // namespace Sapphire
