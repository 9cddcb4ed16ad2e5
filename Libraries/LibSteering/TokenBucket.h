#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/Loan.h>

#include <map>

namespace Sapphire {

/// A token bucket with one VM's share of a customer's rate and burst.
///
/// At any moment, the tokens in the bucket plus the tokens lent and not yet expired are at most share × burst. With
/// shares that sum to at most 1 over all VMs, at most burst tokens exist at the beginning of any window, and at most
/// rate × window are added within it, so no window admits more than rate × window + burst. For the same reason, a
/// bucket whose capacity is below one token never rounds up to a whole one: n such buckets would hold n tokens,
/// whatever the burst. AllotmentPolicy gives no share that is worth less than a token, so a small customer has few but
/// usable buckets.
class TokenBucket
{
public:
    /// Creates an empty bucket that adds no tokens before the given time. The time has to be after the end of all loans
    /// that an earlier process of the same VM may have made from the same share.
    explicit TokenBucket(TimePoint startsAt = {}) : m_refilledAt(startsAt)
    {
    }

    /// Sets rate, burst and share. A smaller capacity drops excess tokens at once, a larger one adds none.
    void configure(double ratePerSecond, double burst, Share share, TimePoint now);

    /// Takes one token. Returns false if there is none.
    bool take(TimePoint now);
    /// Takes up to `most` whole tokens for a loan that ends at the deadline. Returns how many were taken.
    Tokens lend(Tokens most, Deadline loanDeadline, TimePoint now);

    double tokens(TimePoint now);
    /// Returns whether the outstanding loans fit into the capacity; after the capacity was reduced, that may be only
    /// when they end.
    bool isSettled(TimePoint now);
    /// Returns when the bucket will hold the given number of tokens; never if the capacity does not allow it.
    Deadline expectedAt(double wanted, TimePoint now);

    Share share() const
    {
        return m_share;
    }
    double capacity() const;

private:
    void advance(TimePoint now);
    void refill(TimePoint until);
    /// Returns how many tokens the bucket may hold besides those that are lent.
    double availableCapacity() const;
    double refillPerMicrosecond() const;

    double m_ratePerSecond { 0 };
    double m_burst { 0 };
    Share m_share {};
    double m_tokens { 0 };
    double m_lent { 0 };
    TimePoint m_refilledAt;
    std::map<TimePoint, double> m_loanEnds;
};

} // namespace Sapphire
