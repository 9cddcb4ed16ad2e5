#pragma once

#include <cmath>
#include <vector>

namespace Sapphire {

/// Counts how often a series turns from rising to falling or back. Steps smaller than `leastChange` don't count: random
/// arrivals make them by themselves.
inline int directionChanges(const std::vector<double> &shares, double leastChange)
{
    int changes = 0;
    int direction = 0;
    double last = shares.front();
    for (const double share : shares) {
        if (std::abs(share - last) < leastChange) {
            continue;
        }
        const int next = share > last ? 1 : -1;
        changes += direction != 0 && next != direction ? 1 : 0;
        direction = next;
        last = share;
    }
    return changes;
}

} // namespace Sapphire
