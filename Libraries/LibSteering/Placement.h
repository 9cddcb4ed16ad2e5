#pragma once

#include <LibCore/Deadline.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Sapphire {

/// A target that may run a request, as far as this VM knows it.
struct PlacementOption
{
    /// Of the target for the request's object, by rendezvous hashing; the highest is its usual place.
    std::uint64_t rank { 0 };
    double load { 0 }; ///< Requests that it is expected to have, running or waiting.
    int slots { 1 };
    bool isShedding { false }; ///< It turned a request away a moment ago.
    bool isCold { false }; ///< Its caches are empty, and it can't take many requests.
    Microseconds roundTrip {};
    Microseconds work {}; ///< On this request, once a slot is free.
    Microseconds meanWork {}; ///< On the requests that are before it.
    double failureRate { 0 }; ///< Of recent requests, those that failed.
};

/// Where a request goes and when its answer is expected.
struct PlacementChoice
{
    std::size_t position { 0 };
    Microseconds time {}; ///< Until the answer.
    bool hasFreeSlot { false }; ///< Whether the target is expected to begin at once.
};

/// Chooses the target of a request. Answers the load of each target, which only the target itself knows exactly.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Returns nothing if no option takes the request.
    virtual std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const = 0;
};

/// Places a request where its answer is expected first. Work on an object that a target has handled lately is several
/// times shorter, so a short wait at the object's usual target beats a free slot elsewhere, and a long one doesn't.
class EarliestAnswerPlacement final : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const override;

    /// Returns what a slot's time costs others, in times of it.
    static double slotPrice(std::span<const PlacementOption> options);
    /// Returns how long a request is expected to wait for a slot.
    static Microseconds expectedWait(const PlacementOption &option);
};

} // namespace Sapphire
