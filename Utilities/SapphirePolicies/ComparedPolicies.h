#pragma once

#include <LibSteering/Placement.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

/// The target with the fewest requests for each of its slots, the nearest of these. Answers uneven load, but scatters
/// the requests for an object over all targets.
class LeastLoadedPlacement final : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const override;
};

/// The object's usual target as long as it is not full, then the next one by rank. Keeps objects at hand, but lets
/// requests wait at a usual target beside idle ones.
class ObjectHashPlacement final : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(std::span<const PlacementOption> options) const override;
};

/// A way of placing and queueing that is compared with others.
struct ComparedPolicy
{
    std::string name;
    std::unique_ptr<PlacementPolicy> placement;
    bool isQueueing { false }; ///< Whether RequestQueueing lets requests wait at the VM and refuses those without hope.
};

/// Returns the policies of the comparison; the last one is the product's.
std::vector<ComparedPolicy> comparedPolicies();

} // namespace Sapphire
