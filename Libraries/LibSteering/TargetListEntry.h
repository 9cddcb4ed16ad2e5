#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>

namespace Sapphire {

/// What a target says of itself in the platform's list.
struct TargetListEntry
{
    TargetId id;
    ServiceId service;
    std::string address; ///< "ip:port".
    AvailabilityZoneId availabilityZone;
    int slots { 1 }; ///< Requests that it runs at once.
    bool isDraining { false };
    TimePoint coldUntil {}; ///< After a start its caches are empty until then, and more than a few requests a second
                            ///< make it fail. In the past for a warm target.
    std::int64_t startedAtMilliseconds { 0 }; ///< Unix time of its start; a later one is another process.
    std::uint64_t sequence { 0 }; ///< Counts what the process has said of itself.
};

} // namespace Sapphire
