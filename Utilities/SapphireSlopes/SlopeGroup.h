#pragma once

#include <LibCore/Result.h>
#include <SapphireSlopes/Slope.h>

#include <string>
#include <vector>

namespace Sapphire {

/// Measures related quantities at the same sizes.
class SlopeGroup
{
public:
    virtual ~SlopeGroup() = default;

    virtual std::string name() const = 0;
    [[nodiscard]] virtual Result<std::vector<Slope>> measure() = 0;
};

} // namespace Sapphire
