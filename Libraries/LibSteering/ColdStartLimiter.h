#pragma once

#include <LibSteering/EventWindow.h>

namespace Sapphire {

/// How many requests a cold target can take from all VMs together.
struct ColdStartSettings
{
    double overage { 1 }; ///< Factor on the rate that the service states.
    double slack { 0 }; ///< Requests a second beyond that.
};

/// Limits the requests that this VM sends to one cold target, which fails if it gets too many. Only a few VMs, the
/// owners, send any, so that they can divide the limit without coordination.
class ColdStartLimiter
{
public:
    /// Returns the number of owners that share a limit of so many requests a second.
    static int ownerCount(double requestsPerSecond, const ColdStartSettings &settings);

    /// Sets what this VM may send within any second.
    void configure(double requestsPerSecond, const ColdStartSettings &settings, bool isOwner);
    bool maySend(TimePoint now);
    void noteSent(TimePoint now);

private:
    int m_allowance { 0 };
    EventWindow m_sent; ///< Requests of the last second.
};

} // namespace Sapphire
