#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// The index of client blocks, the configuration that holds them, its changes and its snapshots, against the blocks.
class BlockSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "blocks";
    }
    Result<std::vector<Slope>> measure() override;
};

} // namespace Sapphire
