#pragma once

#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// Gives the gossip exchange access to this VM's crash suspects: fingerprints of requests that were running when their
/// target died. Safe to call from any thread.
class CrashSuspectExchange
{
public:
    virtual ~CrashSuspectExchange() = default;

    virtual std::vector<CrashSuspect> suspects(TimePoint now) const = 0;
    /// Merges a crash suspect that another VM sent.
    virtual void takeSuspect(const CrashSuspect &suspect, TimePoint now) = 0;
};

} // namespace Sapphire
