#pragma once

#include <SapphirePolicies/PolicyOutcome.h>

#include <ostream>
#include <string>
#include <vector>

namespace Sapphire {

/// What one policy made of one load, over all seeds.
struct PolicyRow
{
    std::string policy;
    double load { 0 };
    std::vector<PolicyOutcome> outcomes {}; ///< One for each seed.

    double meanOnTime() const;
    double leastOnTime() const;
    double mostOnTime() const;
};

/// Writes a table of all rows.
void writeTable(std::ostream &out, const std::vector<PolicyRow> &rows);

/// Draws the mean share of answers on time over the load, a line for each policy, as SVG.
void writePlot(std::ostream &out, const std::vector<PolicyRow> &rows);

} // namespace Sapphire
