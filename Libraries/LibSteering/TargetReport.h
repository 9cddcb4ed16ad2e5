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

/// What an observer VM learned from a target's health and load endpoints.
struct TargetReport
{
    TargetId target;
    VmId observer;
    TimePoint observedAt;
    TargetHealth health { TargetHealth::Ok };
    int inFlight { 0 }; ///< Requests that the target says it is running.
    int slots { 0 }; ///< Requests that the target says it can run at once.
    Microseconds latency {}; ///< Of the observation itself.
};

/// A region's spare room for a service, as one of its VMs stated it.
struct RegionRoom
{
    RegionId region;
    ServiceId service;
    TimePoint statedAt;
    int slots { 0 }; ///< Slots of the targets that take new work.
    int busy { 0 }; ///< Of these, in use.
};

/// The identity of a request that was running when its target died.
using Fingerprint = StrongId<struct FingerprintTag>;

struct CrashSuspect
{
    Fingerprint fingerprint;
    TimePoint lastSeenAt;
    int crashes { 0 };
};

} // namespace Sapphire
