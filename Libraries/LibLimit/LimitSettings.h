#pragma once

#include <LibCore/SettingsReader.h>
#include <LibSteering/AllotmentPolicy.h>
#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanTracker.h>

#include <algorithm>

namespace Sapphire {

enum class LimitPolicy {
    Shares, ///< Home VMs hold durable shares; other VMs borrow tokens from them.
    EqualSplit, ///< Each listed VM has the same part of rate and burst. Used as a baseline for comparison.
};

/// Settings of customer limits.
struct LimitSettings
{
    LimitPolicy policy { LimitPolicy::Shares };

    /// Loan durations. Lent tokens count against the lender's capacity until the loan ends, even if they are used at
    /// once, so a loan lasts little longer than the call plus the time whose demand it covers (`loanHorizon`).
    Milliseconds localLoan { 60 };
    Milliseconds remoteLoan { 180 };
    Milliseconds localLoanTimeout { 100 };
    Milliseconds remoteLoanTimeout { 250 };
    /// A lender in another region is called only if the request has at least this much time left.
    Milliseconds leastTimeForRemoteLoan { 150 };
    /// A loan is sized to cover the tokens that this VM will lack within this time.
    Milliseconds loanHorizon { 50 };
    /// A lender keeps enough tokens for its own demand of at most this time.
    Milliseconds keepHorizon { 100 };
    /// A request without a token waits for the next one if that is expected within this time.
    Milliseconds longestTokenWait { 200 };
    /// Limits the requests of a customer that wait for a token at one VM; further ones are refused at once.
    int mostTokenWaits { 4 };
    /// Limits a lender's answers per second, for one customer, that grant less than was asked for. Above this rate, it
    /// tells the customer's borrowers to pause for longer.
    double emptyAnswersPerSecond { 20 };
    /// Limits the retry time that a refusal names.
    Milliseconds longestRetry { 10'000 };

    LoanTrackerSettings loanTracker {};
    HomeSetSettings homeSet {};
    AllotmentSettings allotment {};

    /// How often a VM that holds or may hold a share reads the customer's row.
    Milliseconds holderReadInterval { 2'000 };
    /// How often another VM with requests of the customer reads the row, to find lenders.
    Milliseconds otherReadInterval { 30'000 };
    Milliseconds tableTimeout { 1'000 };

    /// Returns the longest duration of a loan. A new process waits this long before its buckets are refilled. It must
    /// be shorter than the time in which a retirement comes into force (5 s).
    Milliseconds longestLoan() const
    {
        return std::max(localLoan, remoteLoan);
    }
    /// Reads the members that an operator may set. The reader collects errors.
    static LimitSettings read(SettingsReader &reader);
};

} // namespace Sapphire
