#pragma once

#include <SapphirePolicies/PolicyOutcome.h>

#include <ostream>
#include <string>
#include <vector>

namespace Sapphire {

/// The results of one policy at one load, for all seeds.
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

/// Writes an SVG plot of the mean rate of answers on time over the load, with a line for each policy.
void writePlot(std::ostream &out, const std::vector<PolicyRow> &rows);

} // namespace Sapphire
