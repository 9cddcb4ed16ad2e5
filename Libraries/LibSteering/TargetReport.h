#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

namespace Sapphire {

enum class TargetHealth {
    Ok,
    Draining,
    Failing,
    Unreachable,
};

/// What an observing VM learned from a target's health and load endpoints.
struct TargetReport
{
    TargetId target;
    VmId observer;
    TimePoint observedAt;
    TargetHealth health { TargetHealth::Ok };
    int inFlight { 0 }; ///< Running requests, as reported by the target.
    int slots { 0 }; ///< Requests that it can run at once, as reported by the target.
    Microseconds latency {}; ///< Of the observer's request to the target.
};

/// The slots of a region for a service and how many are busy, as reported by one of the region's VMs.
struct RegionUsage
{
    RegionId region;
    ServiceId service;
    TimePoint statedAt;
    int slots { 0 }; ///< Slots of the targets that accept new requests.
    int busy { 0 }; ///< How many of these slots are in use.
};

/// The identity of a request that was running when its target died.
using Fingerprint = StrongId<struct FingerprintTag>;

/// A request that ran at a target when the target died, and may have caused that.
struct CrashSuspect
{
    Fingerprint fingerprint;
    TimePoint lastSeenAt;
    int crashes { 0 };
};

} // namespace Sapphire
