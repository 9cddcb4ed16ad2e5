#pragma once

#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanTracker.h>
#include <LibSteering/RateMeter.h>
#include <LibSteering/ServingRules.h>
#include <LibSteering/TokenBucket.h>

#include <vector>

namespace Sapphire {

/// How the platform counts a customer's requests.
struct QuotaSettings
{
    Milliseconds window { 5'000 };
    double overage { 0 }; ///< Fraction of rate × window + burst that a window may have in addition.
    double slack { 0 }; ///< Requests that a window may have beyond that.
};

/// A customer's quota, and who holds it.
struct QuotaTerms
{
    double ratePerSecond { 0 }; ///< Of all VMs together; 0 means unlimited.
    double burst { 0 }; ///< Of all VMs together, including a part of the overage and slack.
    /// The VMs that hold equal shares. The others borrow every token.
    std::vector<RendezvousCandidate> holders;
};

/// Chooses the VMs that hold a customer's quota: in each region as many as can each get a useful number of tokens, but
/// at least one.
QuotaTerms quotaTerms(const CustomerRules &customer, const QuotaSettings &settings, const VmsByRegion &vms);

/// This VM's part of one customer's quota: a token bucket for its share, and borrowed tokens. Handles customers whose
/// requests are spread unevenly over the VMs, and customers that send many times their rate.
class CustomerQuota
{
public:
    /// The bucket begins empty, since an earlier process of this VM may have used what it held. configure() has to be
    /// called before take(), since without terms a customer has no limit.
    explicit CustomerQuota(TimePoint startsAt);

    /// `own` is the id of this VM.
    void configure(const QuotaTerms &terms, const VmId &own, TimePoint now);
    /// Counts a request that has arrived.
    void noteArrival(TimePoint now);
    /// Takes one token for a request, if there is one.
    bool take(TimePoint now);
    /// Sets the number of requests that wait for a token.
    void setWaiting(std::size_t waiting)
    {
        m_waiting = waiting;
    }
    /// Returns how many tokens to request from another VM; zero if the available ones last for a while.
    Tokens wanted(TimePoint now);
    /// Lends up to the wanted number of tokens, without those that this VM needs soon.
    Tokens lend(Tokens wanted, Deadline loanDeadline, TimePoint now);
    /// Returns when the next token is expected without a loan.
    Deadline nextTokenAt(TimePoint now);

    LoanTracker &loans()
    {
        return m_loans;
    }
    const std::vector<RendezvousCandidate> &holders() const
    {
        return m_terms.holders;
    }
    bool isLimited() const
    {
        return m_terms.ratePerSecond > 0;
    }

private:
    double ownRefill() const;

    QuotaTerms m_terms;
    TokenBucket m_bucket;
    LoanTracker m_loans;
    RateMeter m_demand;
    std::size_t m_waiting { 0 };
};

} // namespace Sapphire
