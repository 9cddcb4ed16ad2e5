#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// Measures time and memory of the index of client blocks, of the configuration that holds them, and of its changes and
/// snapshots, against the number of blocks.
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
