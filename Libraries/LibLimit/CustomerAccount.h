#pragma once

#include <LibCore/Ids.h>
#include <LibSteering/AllotmentPolicy.h>
#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanTracker.h>
#include <LibSteering/RateMeter.h>
#include <LibSteering/TokenBucket.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Sapphire {

/// The state of one customer at this VM. CustomerLimiter owns it and protects it with its mutex.
struct CustomerAccount
{
    static constexpr Milliseconds shortMemory { 5'000 };
    static constexpr Milliseconds longMemory { 8'000 };

    struct LenderCandidate
    {
        VmId vm;
        bool isLocal { false };
    };

    CustomerAccount(TimePoint startsAt, LoanTrackerSettings settings) : bucket(startsAt), loans(settings)
    {
    }

    TokenBucket bucket;
    LoanTracker loans;
    double ratePerSecond { 0 };
    double burst { 0 };

    RateMeter ownDemand { shortMemory }; ///< Requests that arrived at this VM.
    RateMeter lentDemand { shortMemory }; ///< Tokens that other VMs asked for.
    /// Requests that arrived at this VM plus tokens that VMs of this region asked for; determines the share.
    RateMeter regionalDemand { longMemory };

    RateMeter emptyAnswers { shortMemory }; ///< Calls of borrowers that got fewer tokens than they asked for.
    std::map<VmId, TimePoint> borrowers; ///< When each VM last asked for a loan.

    int homeSize { 1 };
    std::vector<RendezvousCandidate> homes;
    std::vector<LenderCandidate> lenders; ///< In the order in which they are called.
    std::uint64_t candidateGeneration { 0 };
    Allotment knownAllotment; ///< As last read or written; empty before the first read.

    std::set<VmId> callsInFlight;
    int waiting { 0 }; ///< Requests that wait for a call of another request.
    int tokenWaits { 0 }; ///< Requests that wait for the next token.

    std::uint64_t admitted { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t borrowed { 0 };
    std::uint64_t lent { 0 };
    std::uint64_t loanCalls { 0 };
};

} // namespace Sapphire
