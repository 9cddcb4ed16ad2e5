#pragma once

#include <LibSteering/TargetList.h>

namespace Sapphire {

struct TargetBucket
{
    std::size_t index { 0 };
    std::vector<TargetListEntry> targets;
};

/// A VM's reply to a target sync request: all or some of the buckets in which the two target lists differ.
struct TargetSyncReply
{
    bool isKnown { true }; ///< False if the replying VM has no list either.
    std::uint64_t digest { 0 }; ///< Of the replying VM's whole list.
    TimePoint readAt {}; ///< When that list was last confirmed.
    std::vector<TargetBucket> buckets;
};

/// The lower halves of the digests of a list's buckets, as sent in target sync requests.
using ShortDigests = std::array<std::uint32_t, TargetList::bucketCount>;

ShortDigests shortDigests(const TargetList &list);

} // namespace Sapphire
