#pragma once

#include <LibSteering/EventWindow.h>

namespace Sapphire {

/// How many requests a cold target can take from all VMs together.
struct ColdStartSettings
{
    double overage { 1 }; ///< Times the rate that the service names.
    double slack { 0 }; ///< Requests a second on top.
};

/// Limits the requests that this VM sends to one target while it is cold: with more it would fail. Only a few VMs, the
/// owners, send any, so that the limit can be divided among them without asking.
class ColdStartLimiter
{
public:
    /// Returns how many owners a limit of so many requests a second is divided among.
    static int ownerCount(double requestsPerSecond, const ColdStartSettings &settings);

    /// Sets what this VM may send in any second.
    void configure(double requestsPerSecond, const ColdStartSettings &settings, bool isOwner);
    bool maySend(TimePoint now);
    void noteSent(TimePoint now);

private:
    int m_allowance { 0 };
    EventWindow m_sent; ///< In the last second.
};

} // namespace Sapphire
