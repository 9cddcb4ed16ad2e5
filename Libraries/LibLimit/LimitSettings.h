#pragma once

#include <LibCore/SettingsReader.h>
#include <LibSteering/AllotmentPolicy.h>
#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanTracker.h>

#include <algorithm>

namespace Sapphire {

enum class LimitPolicy {
    Shares, ///< Durable shares at home VMs, plus loans.
    EqualSplit, ///< Each listed VM has the same part of rate and burst; for comparison.
};

/// Settings of customer limits.
struct LimitSettings
{
    LimitPolicy policy { LimitPolicy::Shares };

    /// Tokens lent count against the lender's capacity until the loan ends, even if they were used at once; so loans
    /// last little longer than a call and the demand that they are meant for.
    Milliseconds localLoan { 60 };
    Milliseconds remoteLoan { 180 };
    Milliseconds localLoanTimeout { 100 };
    Milliseconds remoteLoanTimeout { 250 };
    /// A lender in another region is asked only if the request has at least this much time left.
    Milliseconds leastTimeForRemoteLoan { 150 };
    /// A loan is meant to last for the demand of this time.
    Milliseconds loanHorizon { 50 };
    /// A lender keeps tokens for its own demand of at most this time.
    Milliseconds keepHorizon { 100 };
    /// A request for which there is no token waits for the next one if it is expected within this time.
    Milliseconds longestTokenWait { 200 };
    /// Requests of a customer that wait so at one VM; others are refused at once.
    int mostTokenWaits { 4 };
    /// A lender that has to give more empty answers a second for a customer asks the borrowers for longer pauses.
    double emptyAnswersPerSecond { 20 };
    /// A refusal names no later moment than this.
    Milliseconds longestRetry { 10'000 };

    LoanTrackerSettings loanBook {};
    HomeSetSettings homeSet {};
    AllotmentSettings allotment {};

    /// How often a VM that holds or may hold a share reads the row.
    Milliseconds holderReadInterval { 2'000 };
    /// How often another VM with requests of the customer reads it, to know whom to ask for loans.
    Milliseconds otherReadInterval { 30'000 };
    Milliseconds tableTimeout { 1'000 };

    /// Returns how long any loan can last; a new process waits for that time before its buckets fill. It must stay
    /// below the time in which a retirement comes into force (5 s).
    Milliseconds longestLoan() const
    {
        return std::max(localLoan, remoteLoan);
    }
    /// Reads the members that an operator may set; faults are collected in the reader.
    static LimitSettings read(SettingsReader &reader);
};

} // namespace Sapphire
