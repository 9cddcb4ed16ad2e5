#pragma once

#include <LibSteering/AbsenceGrace.h>
#include <LibSteering/TargetListEntry.h>

#include <array>
#include <deque>
#include <map>
#include <vector>

namespace Sapphire {

/// The difference between two states of a target list.
struct TargetListChange
{
    std::uint64_t base { 0 }; ///< Digest of the list before the change.
    std::uint64_t digest { 0 }; ///< Digest of the list after the change.
    std::vector<TargetListEntry> changed;
    std::vector<TargetId> removed;

    std::size_t entryCount() const
    {
        return changed.size() + removed.size();
    }
};

/// The targets that a VM knows, updated by whole lists and by changes. The targets are divided into buckets by the hash
/// of their ids, so that two VMs whose lists differ can compare the buckets' digests and send only what differs.
class TargetList
{
public:
    /// With a few thousand targets, a bucket fits into a datagram.
    static constexpr std::size_t bucketCount = 256;
    using BucketDigests = std::array<std::uint64_t, bucketCount>;

    /// Applies a whole list that was read from the platform. Returns the changes in at least one part of at most
    /// `mostEntries` entries, each relative to the list after the previous part. During the grace period, missing
    /// targets are kept; they are marked as draining if most targets of their service are still listed. An entry that
    /// its target wrote before the one that is known changes nothing: the platform may have come back from an older
    /// copy.
    std::vector<TargetListChange> applyWhole(const std::vector<TargetListEntry> &targets, const AbsenceGrace &grace,
                                             TimePoint now, std::size_t mostEntries);
    /// Applies a change whose base is this list. Returns false, without a change, if the base differs, and also if the
    /// digest differs afterwards.
    bool applyChange(const TargetListChange &change);
    /// Applies the entries of a change regardless of its base. The digests may differ afterwards.
    void merge(const TargetListChange &change);
    /// Replaces the content of a bucket and returns what changed.
    TargetListChange replaceBucket(std::size_t index, const std::vector<TargetListEntry> &targets);

    std::size_t size() const;
    std::vector<TargetListEntry> targets() const;
    std::vector<TargetListEntry> bucket(std::size_t index) const;
    /// Returns the digest of the entries, without their cold times and sequence numbers, which change by themselves.
    std::uint64_t digest() const
    {
        return m_digest;
    }
    BucketDigests bucketDigests() const;

private:
    /// Differs from the digest of a list that was never read.
    static constexpr std::uint64_t emptyDigest = 1;

    struct Entry
    {
        TargetListEntry target;
        std::uint64_t hash { 0 }; ///< Of the members that count for the digest.
        std::uint64_t generation { 0 }; ///< Number of the last whole list that had the target.
    };
    struct Bucket
    {
        std::map<TargetId, Entry> entries;
        std::uint64_t digest { 0 };
    };
    class ChangeParts;

    /// The last known entry of a target that was removed.
    struct RemovedEntry
    {
        std::int64_t startedAtMilliseconds { 0 };
        std::uint64_t sequence { 0 };
    };

    static std::size_t bucketOf(const TargetId &id);
    /// Returns whether the target, which may be known, wrote the entry before one that was seen already.
    bool isOutdated(const TargetListEntry &target, const Entry *known) const;
    Entry *find(const TargetId &id);
    Entry &set(const TargetListEntry &target);
    void remove(const TargetId &id);
    void removeMissing(ChangeParts &parts);
    /// Marks missing targets as draining, unless too many of their service's targets are missing.
    void drainMissing(ChangeParts &parts);
    /// Returns the targets that are not in the last whole list.
    std::vector<TargetId> missing() const;

    std::array<Bucket, bucketCount> m_buckets;
    std::uint64_t m_digest { emptyDigest };
    std::uint64_t m_generation { 0 }; ///< Number of whole lists applied so far.
    std::map<TargetId, RemovedEntry> m_removed; ///< Of the targets that were removed last.
    std::deque<TargetId> m_removedOrder; ///< The order of their removals.
};

} // namespace Sapphire
