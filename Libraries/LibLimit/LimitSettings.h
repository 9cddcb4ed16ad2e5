#pragma once

#include <LibCore/SettingsReader.h>
#include <LibSteering/AllotmentPolicy.h>
#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanBook.h>

namespace Sapphire {

enum class LimitPolicy {
    Shares, ///< Durable shares at home VMs, plus loans.
    EqualSplit, ///< Each listed VM has the same part of rate and burst; for comparison.
};

/// Settings of customer limits.
struct LimitSettings
{
    LimitPolicy policy { LimitPolicy::Shares };

    /// A loan lasts the time in which the rate fills this part of the burst, within the two limits below. Tokens lent
    /// count against the lender's capacity until the loan ends, so long loans cost a customer part of its burst.
    double loanLifetimeFraction { 0.25 };
    Milliseconds shortestLoan { 150 };
    /// Must stay below the time in which a retirement comes into force (5 s).
    Milliseconds longestLoan { 1'000 };
    Milliseconds localLoanTimeout { 100 };
    Milliseconds remoteLoanTimeout { 250 };
    /// A lender in another region is asked only if the request has at least this much time left.
    Milliseconds leastTimeForRemoteLoan { 150 };
    /// A loan is meant to last for the demand of this time.
    Milliseconds loanHorizon { 50 };
    /// A lender keeps tokens for its own demand of at most this time.
    Milliseconds keepHorizon { 100 };
    /// A refusal names no later moment than this.
    Milliseconds longestRetry { 10'000 };

    LoanBookSettings loanBook {};
    HomeSetSettings homeSet {};
    AllotmentSettings allotment {};

    /// How often a VM that holds or may hold a share reads the row.
    Milliseconds holderReadInterval { 2'000 };
    /// How often another VM with requests of the customer reads it, to know whom to ask for loans.
    Milliseconds otherReadInterval { 30'000 };
    Milliseconds tableTimeout { 1'000 };

    /// Reads the members that an operator may set; faults are collected in the reader.
    static LimitSettings read(SettingsReader &reader);
};

} // namespace Sapphire
