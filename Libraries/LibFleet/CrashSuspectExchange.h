#pragma once

#include <LibSteering/TargetReport.h>

#include <vector>

namespace Sapphire {

/// The suspected crash fingerprints of this VM as the exchange with other VMs sees them.
/// Safe to call from any thread.
class CrashSuspectExchange
{
public:
    virtual ~CrashSuspectExchange() = default;

    virtual std::vector<CrashSuspect> suspects(TimePoint now) const = 0;
    virtual void takeSuspect(const CrashSuspect &suspect, TimePoint now) = 0;
};

} // namespace Sapphire
