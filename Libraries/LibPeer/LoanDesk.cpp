#include <LibPeer/LoanDesk.h>

#include <vector>

namespace Sapphire {

namespace {

// A loan ends this long after the question was sent, so the lender may have the tokens back then.
constexpr Milliseconds loanTime { 600 };
// A reply that takes longer counts as lost. More than three round trips between regions (110 ms).
constexpr Milliseconds longestReplyTime { 400 };
// A lender that can be asked again after this time is worth waiting for.
constexpr Milliseconds soonTime { 100 };

} // namespace

LoanDesk::LoanDesk(QuotaBook &quotas, const VmRoster &roster, VmId own, RegionId ownRegion, Asker asker)
    : m_quotas(quotas)
    , m_roster(roster)
    , m_own(std::move(own))
    , m_ownRegion(std::move(ownRegion))
    , m_asker(std::move(asker))
    , m_random(RandomSource::seededBySystem())
    , m_nextId(m_random.next())
{
}

void LoanDesk::seek(TimePoint now)
{
    for (const CustomerId &customer : m_quotas.shortOfTokens(now)) {
        requestLoanFor(customer, now);
    }
}

void LoanDesk::requestLoanFor(const CustomerId &customer, TimePoint now)
{
    if (!isOpen(customer, now)) {
        ask(customer, now);
    }
}

bool LoanDesk::isOpen(const CustomerId &customer, TimePoint now)
{
    const auto open = m_open.find(customer);
    if (open == m_open.end()) {
        return false;
    }
    if (now - open->second.askedAt <= longestReplyTime) {
        return true;
    }
    if (CustomerQuota *const quota = m_quotas.find(customer)) {
        quota->loans().takeFailure(open->second.lender, now);
    }
    m_open.erase(open);
    return false;
}

bool LoanDesk::hasProspect(const CustomerId &customer, TimePoint now)
{
    CustomerQuota *const quota = m_quotas.find(customer);
    return quota != nullptr && (isOpen(customer, now) || chooseLender(*quota, now + soonTime).has_value());
}

void LoanDesk::ask(const CustomerId &customer, TimePoint now)
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
    const Open open { { m_nextId++, customer, wanted }, lender->vm, now };
    m_open[customer] = open;
    m_asker(*lender, open.question);
}

std::optional<VmRecord> LoanDesk::chooseLender(CustomerQuota &quota, TimePoint now)
{
    std::vector<VmRecord> local;
    std::vector<VmRecord> remote;
    for (const HomeCandidate &holder : quota.holders()) {
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

LoanReply LoanDesk::answer(const LoanQuestion &question, TimePoint now)
{
    CustomerQuota *const quota = m_quotas.find(question.customer);
    LoanReply reply { question.id, Tokens(0) };
    if (quota != nullptr) {
        reply.tokens = quota->lend(question.tokens, Deadline::after(now, loanTime), now);
    }
    return reply;
}

void LoanDesk::takeReply(const VmId &lender, const LoanReply &reply, TimePoint now)
{
    for (auto open = m_open.begin(); open != m_open.end(); ++open) {
        const Open asked = open->second;
        if (asked.question.id != reply.id || asked.lender != lender) {
            continue;
        }
        m_open.erase(open);
        CustomerQuota *const quota = m_quotas.find(asked.question.customer);
        if (quota == nullptr) {
            return;
        }
        // The deadline counts from the sending of the question, so it is never later than the lender's.
        const Loan loan { asked.question.customer, reply.tokens, Deadline::after(asked.askedAt, loanTime),
                          Deadline(now) };
        quota->loans().takeAnswer(lender, asked.question.tokens, loan, now);
        ask(asked.question.customer, now);
        return;
    }
}

} // namespace Sapphire
