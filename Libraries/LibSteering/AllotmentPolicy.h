#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibSteering/HomeSet.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sapphire {

/// One VM's share of a customer's allotment.
struct AllotmentEntry
{
    VmIncarnation process;
    Share share;
    double demand { 0 }; ///< Requests a second, including those for which VMs of its region ask it for loans.

    friend bool operator==(const AllotmentEntry &, const AllotmentEntry &) = default;
};

/// How a customer's rate and burst are divided into shares.
struct Allotment
{
    std::vector<AllotmentEntry> entries;

    Share total() const;
    /// Returns the share that no VM holds.
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
    /// A share is lowered only if it exceeds the wanted one by more than this fraction of the wanted one.
    double lowerBand { 0.25 };
    /// A share is lowered by at most this fraction of itself in one interval, since the tokens above the new capacity
    /// are lost.
    double lowerStep { 0.4 };
    /// The number of holders is limited so that each would have this many tokens if the burst were split evenly. Small
    /// buckets overflow while others run short.
    double leastTokensPerHolder { 5 };
    /// Smaller raises are not worth a write.
    Share leastRaise { 2'000 };
    /// The stored demand is updated when it is off by more than this fraction of it.
    double demandBand { 0.5 };
    /// Demand below this fraction of the customer's rate is not told apart from none.
    double demandFloor { 0.05 };
    /// Least time between two writes of a VM for a customer that only follow the demand.
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
    /// Incarnations among the holders that are known to admit no more requests and to have no loans out.
    std::set<VmIncarnation> returnable {};
    /// Whether `leastInterval` has passed since the last write that only followed the demand.
    bool isIntervalOver { true };
};

struct AllotmentDecision
{
    Allotment next;
    bool isChanged { false };
    /// Whether this VM takes over the share of an earlier process of its own.
    bool isTakeover { false };
    /// Whether shares of retired processes are freed.
    bool isReturn { false };
    /// Whether the change is urgent, that is, does more than follow the demand.
    bool isUrgent { false };
};

/// Decides which allotment a VM should write next. A VM lowers only its own share, and frees those of retired
/// processes.
class AllotmentPolicy
{
public:
    static AllotmentDecision decide(const Allotment &current, const AllotmentView &view,
                                    const AllotmentSettings &settings);
    /// Returns the share that each home VM should have, based on the demands in the row.
    static std::map<VmId, Share> wantedShares(const Allotment &current, const AllotmentView &view,
                                              const AllotmentSettings &settings);
    /// Returns the smallest useful share: one that is worth one token of the burst.
    static Share leastShare(double burst);
};

} // namespace Sapphire
