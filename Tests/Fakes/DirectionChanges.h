#pragma once

#include <cmath>
#include <vector>

namespace Sapphire {

/// Counts how often a series changes between rising and falling. Changes smaller than `minChange` are ignored as noise
/// of random arrivals.
inline int directionChanges(const std::vector<double> &values, double minChange)
{
    int changes = 0;
    int direction = 0;
    double last = values.front();
    for (const double value : values) {
        if (std::abs(value - last) < minChange) {
            continue;
        }
        const int next = value > last ? 1 : -1;
        changes += direction != 0 && next != direction ? 1 : 0;
        direction = next;
        last = value;
    }
    return changes;
}

} // namespace Sapphire
