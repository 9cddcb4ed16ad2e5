#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// Whole look-ups against the client blocks, with a small roster.
class LookUpSlopes final : public SlopeGroup
{
public:
    std::string name() const override
    {
        return "lookup";
    }
    Result<std::vector<Slope>> measure() override;
};

} // namespace Sapphire
