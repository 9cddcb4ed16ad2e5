#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// Measures gossip, membership and whole look-ups in a simulated fleet, against its number of VMs.
class FleetSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "fleet";
    }
    Result<std::vector<Slope>> measure() override;
};

} // namespace Sapphire
