#pragma once

#include <LibSteering/Placement.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

/// Chooses the target with the fewest requests per slot, and the nearest of several. Balances the load, but spreads the
/// requests for an object over all targets, which costs cache hits.
class LeastLoadedPlacement final : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const override;
};

/// Chooses the object's preferred target unless it is full, then the next one by rank. Gets cache hits, but lets
/// requests wait at a preferred target while others are idle.
class ObjectHashPlacement final : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const override;
};

/// A placement and queueing policy in the comparison.
struct ComparedPolicy
{
    std::string name;
    std::unique_ptr<PlacementPolicy> placement;
    bool isQueueing { false }; ///< Whether RequestQueueing lets requests wait at the VM and refuses those
                               ///< that can't be answered in time.
};

/// Returns the compared policies; the last one is what the gateway uses.
std::vector<ComparedPolicy> comparedPolicies();

} // namespace Sapphire
