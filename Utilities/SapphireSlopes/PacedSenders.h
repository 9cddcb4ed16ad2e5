#pragma once

#include <functional>

namespace Sapphire {

/// Threads that together send at a steady rate, whether earlier sends have returned or not.
struct PacedSenders
{
    double perSecond { 1 };
    int threads { 1 }; ///< Sends are late if all of them wait.

    /// Calls the function for 0 to total - 1, from several threads, and returns when all calls have.
    void run(int total, const std::function<void(int)> &send) const;
};

} // namespace Sapphire
