#pragma once

#include <SapphireSlopes/SlopeGroup.h>

namespace Sapphire {

/// Measures whole look-ups with a small roster, against the number of client blocks.
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
