#pragma once

#include <LibCore/Ids.h>
#include <LibSteering/AllotmentPolicy.h>
#include <LibSteering/DemandMeter.h>
#include <LibSteering/HomeSet.h>
#include <LibSteering/LoanBook.h>
#include <LibSteering/TokenBucket.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Sapphire {

/// What a VM holds for one customer. Owned and guarded by CustomerLimiter.
struct CustomerAccount
{
    static constexpr Milliseconds shortMemory { 5'000 };
    static constexpr Milliseconds longMemory { 8'000 };

    struct LenderCandidate
    {
        VmId vm;
        bool isLocal { false };
    };

    CustomerAccount(TimePoint startsAt, LoanBookSettings settings) : bucket(startsAt), loans(settings)
    {
    }

    TokenBucket bucket;
    LoanBook loans;
    double ratePerSecond { 0 };
    double burst { 0 };

    DemandMeter ownDemand { shortMemory }; ///< Requests that arrived here.
    DemandMeter lentDemand { shortMemory }; ///< Tokens that others asked for.
    /// Requests that arrived here and tokens that VMs of this region asked for; decides about shares.
    DemandMeter regionalDemand { longMemory };

    DemandMeter emptyAnswers { shortMemory }; ///< Calls that asked for more than there was.
    std::map<VmId, TimePoint> borrowers; ///< When each VM asked last.

    int homeSize { 1 };
    std::vector<RendezvousCandidate> homes;
    std::vector<LenderCandidate> lenders; ///< In the order in which they are asked.
    std::uint64_t candidateGeneration { 0 };
    Allotment knownAllotment; ///< As read last; empty if never.

    std::set<VmId> callsInFlight;
    int waiting { 0 }; ///< Requests that wait for a call in flight.
    int tokenWaits { 0 }; ///< Requests that wait for the next token.

    std::uint64_t admitted { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t borrowed { 0 };
    std::uint64_t lent { 0 };
    std::uint64_t loanCalls { 0 };
};

} // namespace Sapphire
