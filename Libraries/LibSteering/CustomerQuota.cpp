#include <LibSteering/CustomerQuota.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Sapphire {

namespace {

// The rest of the overage and slack covers requests that wait for a target and run later than they were admitted.
constexpr double usableFraction = 0.5;
// A bucket with a lower capacity can't admit requests in their usual rhythm.
constexpr double leastTokensPerVm = 4;
constexpr Milliseconds demandTimeConstant { 2'000 };
// Tokens are requested when the available ones would last for less than `lowSeconds`, and as many as last for
// `highSeconds`.
constexpr double lowSeconds = 0.15;
constexpr double highSeconds = 0.4;
// A lender keeps the tokens that its own callers need for this time.
constexpr double reserveSeconds = 0.5;
constexpr LoanTrackerSettings loanSettings { Milliseconds(50), Milliseconds(400), Milliseconds(400), 100 };

} // namespace

QuotaTerms quotaTerms(const CustomerRules &customer, const QuotaSettings &settings, const VmsByRegion &vms)
{
    QuotaTerms terms;
    terms.ratePerSecond = customer.ratePerSecond;
    const double windowSeconds = std::chrono::duration<double>(settings.window).count();
    const double extra = settings.overage * (customer.ratePerSecond * windowSeconds + customer.burst) + settings.slack;
    terms.burst = customer.burst + usableFraction * extra;
    const double perRegion = terms.burst / static_cast<double>(std::max<std::size_t>(1, vms.regionCount()));
    const int size = std::max(1, static_cast<int>(perRegion / leastTokensPerVm));
    terms.holders = HomeSet::choose(customer.id, vms, size);
    return terms;
}

CustomerQuota::CustomerQuota(TimePoint startsAt)
    : m_bucket(startsAt), m_loans(loanSettings), m_demand(demandTimeConstant)
{
}

void CustomerQuota::configure(const QuotaTerms &terms, const VmId &own, TimePoint now)
{
    m_terms = terms;
    const bool isHolder =
        std::any_of(terms.holders.begin(), terms.holders.end(), [&own](const RendezvousCandidate &holder) {
            return holder.vm == own;
        });
    const auto holders = static_cast<std::int64_t>(std::max<std::size_t>(1, terms.holders.size()));
    const Share share = isHolder ? Share(wholeShare.value() / holders) : Share(0);
    m_bucket.configure(terms.ratePerSecond, terms.burst, share, now);
}

void CustomerQuota::noteArrival(TimePoint now)
{
    m_demand.add(1, now);
}

bool CustomerQuota::take(TimePoint now)
{
    return !isLimited() || m_loans.take(now) || m_bucket.take(now);
}

double CustomerQuota::ownRefill() const
{
    return m_terms.ratePerSecond * static_cast<double>(m_bucket.share().value())
        / static_cast<double>(wholeShare.value());
}

Tokens CustomerQuota::wanted(TimePoint now)
{
    if (!isLimited()) {
        return Tokens(0);
    }
    // A fraction of a token admits no request.
    const double atHand = std::floor(m_bucket.tokens(now)) + static_cast<double>(m_loans.tokens(now).value());
    const double missing = std::max(0.0, m_demand.perSecond(now) - ownRefill());
    const auto waiting = static_cast<double>(m_waiting);
    const bool isLow = atHand < waiting + missing * lowSeconds;
    if (!isLow) {
        return Tokens(0);
    }
    // Whole tokens only: a fraction that is not used before the loan ends is lost.
    return Tokens(static_cast<std::int64_t>(std::max(0.0, std::floor(waiting + missing * highSeconds - atHand))));
}

Tokens CustomerQuota::lend(Tokens wanted, Deadline loanDeadline, TimePoint now)
{
    const double reserve = std::max(0.0, m_demand.perSecond(now) - ownRefill()) * highSeconds
        + std::min(m_demand.perSecond(now) * reserveSeconds, m_bucket.capacity() / 2);
    const auto spare = static_cast<std::int64_t>(std::floor(m_bucket.tokens(now) - reserve));
    return m_bucket.lend(Tokens(std::clamp<std::int64_t>(wanted.value(), 0, std::max<std::int64_t>(0, spare))),
                         loanDeadline, now);
}

Deadline CustomerQuota::nextTokenAt(TimePoint now)
{
    return m_bucket.expectedAt(1, now);
}

} // namespace Sapphire
