#include <LibSteering/Placement.h>

#include <LibCore/Duration.h>

#include <algorithm>

namespace Sapphire {

namespace {

// A target queues a limited number of requests for each slot and refuses more. This limit leaves a part of its queue to
// requests of other VMs that this one has not heard of yet.
constexpr double mostWaitingPerSlot = 2;
// A failed request costs about as much time as this many requests that succeed.
constexpr double failurePenalty = 3;
// The fewer slots are free, the more a busy slot delays others.
constexpr double leastSlotPrice = 0.3;
constexpr double mostSlotPrice = 4;
constexpr double leastFree = 0.05;

} // namespace

Microseconds EarliestAnswerPlacement::expectedWait(const PlacementOption &option)
{
    const double before = option.load - option.slots + 1;
    if (before <= 0) {
        return Microseconds::zero();
    }
    return scaled(option.meanWork, before / std::max(1, option.slots));
}

double EarliestAnswerPlacement::slotPrice(std::span<const PlacementOption> options)
{
    double load = 0;
    double slots = 0;
    for (const PlacementOption &option : options) {
        load += std::min(option.load, static_cast<double>(option.slots));
        slots += option.slots;
    }
    const double utilization = slots > 0 ? load / slots : 0;
    return std::clamp(utilization / std::max(leastFree, 1 - utilization), leastSlotPrice, mostSlotPrice);
}

std::optional<PlacementChoice> EarliestAnswerPlacement::choose(std::span<const PlacementOption> options) const
{
    const double price = slotPrice(options);
    std::optional<PlacementChoice> best;
    Microseconds bestCost {};
    for (std::size_t i = 0; i < options.size(); ++i) {
        const PlacementOption &option = options[i];
        const bool isFull = option.load >= option.slots * (1 + mostWaitingPerSlot);
        if (isFull || option.isShedding) {
            continue;
        }
        const Microseconds wait = expectedWait(option);
        const Microseconds time = option.roundTrip + wait + option.work;
        const Microseconds cost = time + scaled(option.work, price + failurePenalty * option.failureRate);
        const bool isBetter =
            !best || cost < bestCost || (cost == bestCost && option.rank > options[best->position].rank);
        if (isBetter) {
            best = PlacementChoice { i, time, wait == Microseconds::zero() };
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Sapphire
