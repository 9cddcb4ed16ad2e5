#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/Ipv4Endpoint.h>

#include <cstdint>
#include <string_view>

namespace Sapphire {

/// A target's entry in the platform's list, as the target itself states it.
struct TargetListEntry
{
    TargetId id;
    ServiceId service;
    Ipv4Endpoint address;
    AvailabilityZoneId availabilityZone;
    int slots { 1 }; ///< Requests that it runs at once.
    bool isDraining { false };
    /// After its start, its caches are empty until this time, and more than a few requests a second make it fail. In
    /// the past for a warm target.
    TimePoint coldUntil {};
    std::int64_t startedAtMilliseconds { 0 }; ///< Unix time of its start; a later one means a new process.
    std::uint64_t sequence { 0 }; ///< Counts the entries that the process has written.

    /// Returns the name of a member that no target can have, or an empty text. Entries come from other processes, also
    /// from faulty ones.
    std::string_view invalidMember() const;
};

} // namespace Sapphire
