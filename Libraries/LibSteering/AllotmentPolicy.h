#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/HomeSet.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sapphire {

/// One VM's part in a customer's allotment.
struct AllotmentEntry
{
    VmIncarnation process;
    Share share;
    double demand { 0 }; ///< Requests a second that the VM wants to serve, its neighbours' loans included.

    friend bool operator==(const AllotmentEntry &, const AllotmentEntry &) = default;
};

/// How a customer's rate and burst are divided into shares.
struct Allotment
{
    std::vector<AllotmentEntry> entries;

    Share total() const;
    /// Returns what no VM holds.
    Share rest() const
    {
        return wholeShare - total();
    }
    const AllotmentEntry *find(const VmId &vm) const;
    AllotmentEntry *find(const VmId &vm);

    friend bool operator==(const Allotment &, const Allotment &) = default;
};

struct AllotmentSettings
{
    /// A share is lowered only if it exceeds the wanted one by this part of it.
    double lowerBand { 0.25 };
    /// A share is lowered by at most this part of it in one interval, since the tokens above the new capacity are lost.
    double lowerStep { 0.4 };
    /// There are no more holders than leave each of them this many tokens of the burst, if it were split evenly. Small
    /// buckets overflow while others run short.
    double leastTokensPerHolder { 5 };
    /// Smaller raises are not worth a write.
    Share leastRaise { 2'000 };
    /// The demand in the row is renewed when it is off by this part of it.
    double demandBand { 0.5 };
    /// Demand below this part of the customer's rate is not told apart from none.
    double demandFloor { 0.05 };
    /// Time between two writes of a VM for a customer that only follow the demand.
    Milliseconds leastInterval { 10'000 };
};

/// What a VM knows when it decides on a customer's next allotment.
struct AllotmentView
{
    VmIncarnation self;
    std::vector<RendezvousCandidate> homes;
    double ownDemand { 0 };
    double ratePerSecond { 0 };
    double burst { 0 };
    /// Incarnations among the holders that surely admit nothing any more and have no loans out.
    std::set<VmIncarnation> returnable {};
    /// Whether the last write that only followed the demand is long enough ago.
    bool isIntervalOver { true };
};

struct AllotmentDecision
{
    Allotment next;
    bool isChanged { false };
    /// Whether the share of an earlier process of this VM becomes its own.
    bool isTakeover { false };
    /// Whether shares of retired processes became free.
    bool isReturn { false };
    /// Whether the change is urgent, that is not only following the demand.
    bool isUrgent { false };
};

/// Decides which allotment a VM should write next. A VM lowers nobody's share but its own.
class AllotmentPolicy
{
public:
    static AllotmentDecision decide(const Allotment &current, const AllotmentView &view,
                                    const AllotmentSettings &settings);
    /// Returns the share that each home VM should have, from the demands in the row.
    static std::map<VmId, Share> wantedShares(const Allotment &current, const AllotmentView &view,
                                              const AllotmentSettings &settings);
    /// Returns the smallest useful share: what is worth one token.
    static Share leastShare(double burst);
};

} // namespace Sapphire
