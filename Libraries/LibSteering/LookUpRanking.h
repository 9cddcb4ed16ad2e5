#pragma once

#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>

#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace Sapphire {

/// A VM that a look-up may name.
struct LookUpCandidate
{
    VmId vm;
    Locality locality;
    bool isHomeOfCustomer { false }; ///< Holds a share of the customer's rate.
};

struct LookUpRequest
{
    std::optional<RegionId> region; ///< The caller's nearest region.
    std::optional<AvailabilityZoneId> availabilityZone;
    std::vector<RegionId> fallbacks; ///< Other regions, nearest first.
    std::size_t count { 3 }; ///< VMs to name.
};

/// Orders the VMs for a caller: the nearest region first and, within a region, the customer's home VMs first.
/// VMs of equal rank are shuffled, so that callers spread over them.
std::vector<LookUpCandidate> rankForLookUp(std::vector<LookUpCandidate> candidates, const LookUpRequest &request,
                                           RandomSource &random);

} // namespace Sapphire
