#include <LibSteering/AllotmentPolicy.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Sapphire {

namespace {

// Fraction of what is divided that is split evenly, so that a region that was idle has tokens for its first requests.
constexpr double evenFraction = 0.1;
// If not every home VM can hold a share, a holder keeps its own until another home has this many times its demand.
constexpr double holderPreference = 2;

struct HomeDemand
{
    VmId vm;
    double demand { 0 };
    Share share {};
    std::size_t order { 0 };

    double rank() const
    {
        return share.value() > 0 ? demand * holderPreference : demand;
    }
};

std::vector<HomeDemand> demandsOf(const Allotment &current, const AllotmentView &view)
{
    std::vector<HomeDemand> homeDemands;
    for (std::size_t i = 0; i < view.homes.size(); ++i) {
        const AllotmentEntry *entry = current.find(view.homes[i].vm);
        if (entry != nullptr) {
            homeDemands.push_back({ view.homes[i].vm, entry->demand, entry->share, i });
        } else {
            homeDemands.push_back({ view.homes[i].vm, 0, Share(0), i });
        }
    }
    std::stable_sort(homeDemands.begin(), homeDemands.end(), [](const HomeDemand &left, const HomeDemand &right) {
        return std::make_tuple(right.rank(), right.share, left.order)
            < std::make_tuple(left.rank(), left.share, right.order);
    });
    return homeDemands;
}

bool returnShares(Allotment &allotment, const std::set<VmIncarnation> &returnable)
{
    return std::erase_if(allotment.entries,
                         [&returnable](const AllotmentEntry &entry) {
                             return returnable.contains(entry.process);
                         })
        > 0;
}

double totalDemand(const Allotment &allotment)
{
    double sum = 0;
    for (const AllotmentEntry &entry : allotment.entries) {
        sum += entry.demand;
    }
    return sum;
}

bool isDemandOff(const AllotmentEntry &entry, const AllotmentView &view, const AllotmentSettings &settings)
{
    const double difference = std::abs(view.ownDemand - entry.demand);
    const double reference = std::max(entry.demand, view.ratePerSecond * settings.demandFloor);
    return difference > settings.demandBand * reference;
}

void followDemand(AllotmentDecision &decision, const AllotmentView &view, const AllotmentSettings &settings)
{
    AllotmentEntry &own = *decision.next.find(view.self.vm);
    if (view.isIntervalOver && isDemandOff(own, view, settings)) {
        own.demand = view.ownDemand;
    }
    const std::map<VmId, Share> wantedShares = AllotmentPolicy::wantedShares(decision.next, view, settings);
    const Share wanted = wantedShares.at(view.self.vm);
    const auto limit = static_cast<double>(wanted.value()) * (1 + settings.lowerBand);
    // Without requests there is no demand to follow, and changing shares would only lose tokens.
    const bool isIdle = totalDemand(decision.next) < settings.demandFloor * view.ratePerSecond;
    const bool isWorthless = own.share.value() > 0 && own.share < AllotmentPolicy::leastShare(view.burst);
    if (wanted < own.share
        && (isWorthless || (view.isIntervalOver && !isIdle && static_cast<double>(own.share.value()) > limit))) {
        const auto step = static_cast<std::int64_t>(static_cast<double>(own.share.value()) * settings.lowerStep);
        const Share stepped = std::max(wanted, own.share - Share(step));
        own.share = stepped < AllotmentPolicy::leastShare(view.burst) ? wanted : stepped;
        return;
    }
    const Share raise = std::min(wanted - own.share, decision.next.rest());
    const bool isFirst = own.share.value() == 0;
    if (raise.value() > 0 && own.share + raise >= AllotmentPolicy::leastShare(view.burst)
        && (isFirst || raise >= settings.leastRaise)) {
        own.share = own.share + raise;
        decision.isUrgent = true;
    }
}

} // namespace

Share Allotment::total() const
{
    Share sum;
    for (const AllotmentEntry &entry : entries) {
        sum = sum + entry.share;
    }
    return sum;
}

const AllotmentEntry *Allotment::find(const VmId &vm) const
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&vm](const AllotmentEntry &entry) {
        return entry.process.vm == vm;
    });
    return found == entries.end() ? nullptr : &*found;
}

AllotmentEntry *Allotment::find(const VmId &vm)
{
    return const_cast<AllotmentEntry *>(std::as_const(*this).find(vm));
}

Share AllotmentPolicy::leastShare(double burst)
{
    if (burst < 1) {
        return wholeShare;
    }
    return Share(static_cast<std::int64_t>(std::ceil(static_cast<double>(wholeShare.value()) / burst)));
}

std::map<VmId, Share> AllotmentPolicy::wantedShares(const Allotment &current, const AllotmentView &view,
                                                    const AllotmentSettings &settings)
{
    std::map<VmId, Share> shares;
    std::vector<HomeDemand> homeDemands = demandsOf(current, view);
    const std::int64_t least = leastShare(view.burst).value();
    const double affordable = std::clamp(view.burst / settings.leastTokensPerHolder, 1.0, 1e6);
    const auto holders = std::min(homeDemands.size(), static_cast<std::size_t>(affordable));
    double sum = 0;
    for (std::size_t i = 0; i < holders; ++i) {
        sum += homeDemands[i].demand;
    }
    const std::int64_t spare = wholeShare.value() - least * static_cast<std::int64_t>(holders);
    std::int64_t given = 0;
    for (std::size_t i = 0; i < homeDemands.size(); ++i) {
        if (i >= holders) {
            shares[homeDemands[i].vm] = Share(0);
            continue;
        }
        const double even = 1.0 / static_cast<double>(holders);
        const double fraction = sum > 0 ? evenFraction * even + (1 - evenFraction) * homeDemands[i].demand / sum : even;
        const auto extra = static_cast<std::int64_t>(std::floor(fraction * static_cast<double>(spare)));
        shares[homeDemands[i].vm] = Share(least + extra);
        given += least + extra;
    }
    if (holders > 0) {
        // Gives away the few parts per million that rounding down has left.
        shares[homeDemands.front().vm] = shares[homeDemands.front().vm] + Share(wholeShare.value() - given);
    }
    return shares;
}

AllotmentDecision AllotmentPolicy::decide(const Allotment &current, const AllotmentView &view,
                                          const AllotmentSettings &settings)
{
    AllotmentDecision decision { current };
    std::set<VmIncarnation> returnable = view.returnable;
    returnable.erase(view.self);
    decision.isReturn = returnShares(decision.next, returnable);
    decision.isUrgent = decision.isReturn;
    AllotmentEntry *own = decision.next.find(view.self.vm);
    if (own != nullptr && own->process.incarnation > view.self.incarnation) {
        // A newer process runs under this VM's id, so this one may change nothing.
        return AllotmentDecision { current };
    }
    if (own != nullptr && own->process != view.self) {
        own->process = view.self;
        decision.isTakeover = true;
        decision.isUrgent = true;
    }
    const bool isHome = std::any_of(view.homes.begin(), view.homes.end(), [&view](const RendezvousCandidate &home) {
        return home.vm == view.self.vm;
    });
    if (!isHome && own != nullptr && !decision.isTakeover) {
        std::erase_if(decision.next.entries, [&view](const AllotmentEntry &entry) {
            return entry.process == view.self;
        });
        decision.isUrgent = true;
    }
    if (isHome) {
        if (own == nullptr) {
            decision.next.entries.push_back({ view.self, Share(0), view.ownDemand });
            decision.isUrgent = true;
        }
        if (!decision.isTakeover) {
            followDemand(decision, view, settings);
        }
    }
    decision.isChanged = decision.next != current;
    return decision;
}

} // namespace Sapphire
