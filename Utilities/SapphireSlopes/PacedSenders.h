#pragma once

#include <functional>

namespace Sapphire {

/// Sends from several threads at a steady overall rate, whether earlier sends have returned or not.
struct PacedSenders
{
    double perSecond { 1 };
    int threads { 1 }; ///< Sends are late if all threads are busy.

    /// Calls the function with each number from 0 to total - 1, and returns when all calls have returned.
    void run(int total, const std::function<void(int)> &send) const;
};

} // namespace Sapphire
