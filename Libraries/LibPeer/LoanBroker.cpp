#include <LibPeer/LoanBroker.h>

#include <vector>

namespace Sapphire {

namespace {

// A loan ends this long after the request was sent, and no earlier at the lender, which may then reuse the tokens.
constexpr Milliseconds loanLifetime { 600 };
// A reply that takes longer counts as lost. Allows for more than three round trips between regions (110 ms each).
constexpr Milliseconds replyTimeout { 400 };
// Waiting is worthwhile if a lender accepts the next request within this time.
constexpr Milliseconds shortWait { 100 };

} // namespace

LoanBroker::LoanBroker(CustomerQuotas &quotas, const VmRoster &roster, VmId own, RegionId ownRegion,
                       RequestSender requestSender)
    : m_quotas(quotas)
    , m_roster(roster)
    , m_own(std::move(own))
    , m_ownRegion(std::move(ownRegion))
    , m_requestSender(std::move(requestSender))
    , m_random(RandomSource::seededBySystem())
    , m_nextId(m_random.next())
{
}

void LoanBroker::requestLoans(TimePoint now)
{
    for (const CustomerId &customer : m_quotas.shortOfTokens(now)) {
        requestLoanFor(customer, now);
    }
}

void LoanBroker::requestLoanFor(const CustomerId &customer, TimePoint now)
{
    if (!hasOpenRequest(customer, now)) {
        sendRequest(customer, now);
    }
}

bool LoanBroker::hasOpenRequest(const CustomerId &customer, TimePoint now)
{
    const auto open = m_open.find(customer);
    if (open == m_open.end()) {
        return false;
    }
    if (now - open->second.sentAt <= replyTimeout) {
        return true;
    }
    if (CustomerQuota *const quota = m_quotas.find(customer)) {
        quota->loans().takeFailure(open->second.lender, now);
    }
    m_open.erase(open);
    return false;
}

bool LoanBroker::mayReceiveTokens(const CustomerId &customer, TimePoint now)
{
    CustomerQuota *const quota = m_quotas.find(customer);
    return quota != nullptr && (hasOpenRequest(customer, now) || chooseLender(*quota, now + shortWait).has_value());
}

void LoanBroker::sendRequest(const CustomerId &customer, TimePoint now)
{
    CustomerQuota *const quota = m_quotas.find(customer);
    if (quota == nullptr) {
        return;
    }
    const Tokens wanted = quota->wanted(now);
    const std::optional<VmRecord> lender = chooseLender(*quota, now);
    if (wanted == Tokens(0) || !lender || !quota->loans().beginCall(now)) {
        return;
    }
    const OpenRequest open { { m_nextId++, customer, wanted }, lender->vm, now };
    m_open[customer] = open;
    m_requestSender(*lender, open.request);
}

std::optional<VmRecord> LoanBroker::chooseLender(CustomerQuota &quota, TimePoint now)
{
    std::vector<VmRecord> local;
    std::vector<VmRecord> remote;
    for (const RendezvousCandidate &holder : quota.holders()) {
        const VmRecord *const record = m_roster.find(holder.vm);
        if (record == nullptr || holder.vm == m_own || !quota.loans().mayAsk(holder.vm, now)) {
            continue;
        }
        if (holder.region != m_ownRegion) {
            remote.push_back(*record);
        } else if (m_roster.isServing(holder.vm, now)) {
            local.push_back(*record);
        }
    }
    const std::vector<VmRecord> &candidates = local.empty() ? remote : local;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random.below(candidates.size())];
}

LoanReply LoanBroker::answer(const LoanRequest &request, TimePoint now)
{
    CustomerQuota *const quota = m_quotas.find(request.customer);
    LoanReply reply { request.id, Tokens(0) };
    if (quota != nullptr) {
        reply.tokens = quota->lend(request.tokens, Deadline::after(now, loanLifetime), now);
    }
    return reply;
}

void LoanBroker::takeReply(const VmId &lender, const LoanReply &reply, TimePoint now)
{
    for (auto open = m_open.begin(); open != m_open.end(); ++open) {
        const OpenRequest pending = open->second;
        if (pending.request.id != reply.id || pending.lender != lender) {
            continue;
        }
        m_open.erase(open);
        CustomerQuota *const quota = m_quotas.find(pending.request.customer);
        if (quota == nullptr) {
            return;
        }
        // The deadline counts from when the request was sent, so it is never later than the lender's.
        const Loan loan { pending.request.customer, reply.tokens, Deadline::after(pending.sentAt, loanLifetime),
                          Deadline(now) };
        quota->loans().takeAnswer(lender, pending.request.tokens, loan, now);
        sendRequest(pending.request.customer, now);
        return;
    }
}

} // namespace Sapphire
