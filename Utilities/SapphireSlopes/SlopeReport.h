#pragma once

#include <SapphireSlopes/Slope.h>

#include <string>
#include <vector>

namespace Sapphire {

/// The slopes of one group with the load of the machine while they were measured.
struct SlopeReport
{
    std::string group;
    double loadBefore { 0 }; ///< Load average over the minute before.
    double loadAfter { 0 };
    std::vector<Slope> slopes {};

    /// Returns a table with a row for each slope.
    std::string text() const;
    std::string json() const;
};

} // namespace Sapphire
