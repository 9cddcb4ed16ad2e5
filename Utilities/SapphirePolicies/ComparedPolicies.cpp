#include <SapphirePolicies/ComparedPolicies.h>

namespace Sapphire {

namespace {

// A target counts as full if this many requests wait for each of its slots, as in EarliestAnswerPlacement.
constexpr double mostWaitingPerSlot = 2;

bool takesRequests(const PlacementOption &option)
{
    return !option.isShedding && option.load < option.slots * (1 + mostWaitingPerSlot);
}

PlacementChoice choiceOf(std::span<const PlacementOption> options, std::size_t position)
{
    const PlacementOption &option = options[position];
    const Microseconds wait = EarliestAnswerPlacement::expectedWait(option);
    return { position, option.roundTrip + wait + option.work, wait == Microseconds::zero() };
}

template<typename IsBetter>
std::optional<PlacementChoice> bestOf(std::span<const PlacementOption> options, const IsBetter &isBetter)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (takesRequests(options[i]) && (!best || isBetter(options[i], options[*best]))) {
            best = i;
        }
    }
    return best ? std::optional(choiceOf(options, *best)) : std::nullopt;
}

} // namespace

std::optional<PlacementChoice> LeastLoadedPlacement::choose(std::span<const PlacementOption> options) const
{
    return bestOf(options, [](const PlacementOption &left, const PlacementOption &right) {
        const double leftLoad = left.load / left.slots;
        const double rightLoad = right.load / right.slots;
        return leftLoad != rightLoad ? leftLoad < rightLoad : left.roundTrip < right.roundTrip;
    });
}

std::optional<PlacementChoice> ObjectHashPlacement::choose(std::span<const PlacementOption> options) const
{
    return bestOf(options, [](const PlacementOption &left, const PlacementOption &right) {
        return left.rank > right.rank;
    });
}

std::vector<ComparedPolicy> comparedPolicies()
{
    std::vector<ComparedPolicy> policies;
    policies.push_back({ "least loaded", std::make_unique<LeastLoadedPlacement>(), false });
    policies.push_back({ "object hash", std::make_unique<ObjectHashPlacement>(), false });
    policies.push_back({ "earliest answer", std::make_unique<EarliestAnswerPlacement>(), false });
    policies.push_back({ "object hash, queueing", std::make_unique<ObjectHashPlacement>(), true });
    policies.push_back({ "earliest answer, queueing", std::make_unique<EarliestAnswerPlacement>(), true });
    return policies;
}

} // namespace Sapphire
