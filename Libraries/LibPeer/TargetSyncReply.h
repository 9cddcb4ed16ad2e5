#pragma once

#include <LibSteering/TargetList.h>

namespace Sapphire {

struct TargetBucket
{
    std::size_t index { 0 };
    std::vector<KnownTarget> targets;
};

/// A VM's answer to one that lacks targets: the buckets in which their lists differ, or some of them.
struct TargetSyncReply
{
    bool isKnown { true }; ///< Otherwise the answering VM has no list either.
    std::uint64_t digest { 0 }; ///< Of its whole list.
    TimePoint readAt {}; ///< When what it knows was confirmed last.
    std::vector<TargetBucket> buckets;
};

/// The digests of a list's buckets as far as they are told.
using ShortDigests = std::array<std::uint32_t, TargetList::bucketCount>;

/// Returns the part of the digests that is told.
ShortDigests shortDigests(const TargetList &list);

} // namespace Sapphire
