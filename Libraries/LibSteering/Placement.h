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
    /// Rendezvous hash rank of the target for the request's object; the highest is the object's preferred target.
    std::uint64_t rank { 0 };
    double load { 0 }; ///< Requests that it is expected to have, running or waiting.
    int slots { 1 };
    bool isShedding { false }; ///< It was full and refused a request a moment ago.
    bool isCold { false }; ///< Its caches are empty, and it can't take many requests.
    Microseconds roundTrip {};
    Microseconds work {}; ///< Processing time of this request, once a slot is free.
    Microseconds meanWork {}; ///< Mean processing time of the requests ahead of it.
    double failureRate { 0 }; ///< Fraction of recent requests that failed.
};

/// The target chosen for a request, and when the answer is expected.
struct PlacementChoice
{
    std::size_t position { 0 };
    Microseconds time {}; ///< Expected time until the answer.
    bool hasFreeSlot { false }; ///< Whether the target is expected to begin at once.
};

/// Chooses the target of a request from estimates of the load of each target, which only the target itself knows
/// exactly.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Returns nothing if no option takes the request.
    virtual std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const = 0;
};

/// Sends a request where its answer is expected first. Processing is several times shorter for an object that the
/// target has handled lately, so a short wait at the object's preferred target beats a free slot elsewhere, and a long
/// one doesn't.
class EarliestAnswerPlacement final : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const override;

    /// Returns the delay that a busy slot causes to other requests, as a multiple of the time for which it is busy.
    static double slotPrice(std::span<const PlacementOption> options);
    /// Returns how long a request is expected to wait for a slot.
    static Microseconds expectedWait(const PlacementOption &option);
};

} // namespace Sapphire
