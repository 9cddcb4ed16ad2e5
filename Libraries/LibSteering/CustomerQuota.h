#pragma once

#include <LibSteering/DemandMeter.h>
#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanBook.h>
#include <LibSteering/ServingRules.h>
#include <LibSteering/TokenBucket.h>

#include <vector>

namespace Sapphire {

/// How the platform counts a customer's requests.
struct QuotaSettings
{
    Milliseconds window { 5'000 };
    double overage { 0 }; ///< The part of rate × window + burst that may come on top in a window.
    double slack { 0 }; ///< Requests in a window that may come on top of that.
};

/// A customer's quota, and who holds it.
struct QuotaTerms
{
    double ratePerSecond { 0 }; ///< Of all VMs together; 0 is no limit.
    double burst { 0 }; ///< Of all VMs together, with a part of what may come on top.
    /// The VMs that hold equal shares. The others borrow every token.
    std::vector<RendezvousCandidate> holders;
};

/// Chooses the VMs that hold a customer's quota: in each region as many as leave each of them with a useful number of
/// tokens, and at least one.
QuotaTerms quotaTerms(const CustomerRules &customer, const QuotaSettings &settings, const VmsByRegion &vms);

/// What a VM holds of one customer's quota: its share as a bucket, and tokens that it has borrowed. Answers a customer
/// whose requests are spread unevenly over the VMs, and one that sends many times its rate.
class CustomerQuota
{
public:
    /// The bucket begins empty, since an earlier process of this VM may have used what it held.
    explicit CustomerQuota(TimePoint startsAt);

    /// `own` is this VM.
    void configure(const QuotaTerms &terms, const VmId &own, TimePoint now);
    /// Accounts for a request that has arrived.
    void noteArrival(TimePoint now);
    /// Takes one token for a request, if there is one.
    bool take(TimePoint now);
    /// Tells how many requests wait for a token.
    void setWaiting(std::size_t waiting)
    {
        m_waiting = waiting;
    }
    /// Returns how many tokens to ask another VM for; zero if those at hand last a while.
    Tokens wanted(TimePoint now);
    /// Gives tokens that this VM doesn't need soon.
    Tokens lend(Tokens wanted, Deadline loanDeadline, TimePoint now);
    /// Returns when the next token is expected without a loan.
    Deadline nextTokenAt(TimePoint now);

    LoanBook &loans()
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
    LoanBook m_loans;
    DemandMeter m_demand;
    std::size_t m_waiting { 0 };
};

} // namespace Sapphire
