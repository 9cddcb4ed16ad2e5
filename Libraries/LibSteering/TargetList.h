#pragma once

#include <LibSteering/AbsenceGrace.h>
#include <LibSteering/TargetListEntry.h>

#include <array>
#include <map>
#include <vector>

namespace Sapphire {

/// What is new in a list of targets against another one.
struct TargetListChange
{
    std::uint64_t base { 0 }; ///< Digest of the list before.
    std::uint64_t digest { 0 }; ///< Digest of the list after.
    std::vector<TargetListEntry> changed;
    std::vector<TargetId> removed;

    std::size_t entryCount() const
    {
        return changed.size() + removed.size();
    }
};

/// The targets that a VM knows of, kept up to date by whole lists and by changes. The targets are divided into buckets
/// by their ids, so that two VMs whose lists differ find out where without sending all of them.
class TargetList
{
public:
    /// With some thousand targets a bucket fits into a datagram.
    static constexpr std::size_t bucketCount = 256;
    using BucketDigests = std::array<std::uint64_t, bucketCount>;

    /// Takes a whole list. Returns what is new in parts of at most so many entries, each against the list after the
    /// one before; at least one part. Missing targets stay while the grace lasts; they count as draining as long as
    /// most of their service's targets are listed.
    std::vector<TargetListChange> applyWhole(const std::vector<TargetListEntry> &targets, const AbsenceGrace &grace,
                                             TimePoint now, std::size_t mostEntries);
    /// Takes a change of the list that this VM knows. Returns false if it is one of another list.
    bool applyChange(const TargetListChange &change);
    /// Takes the entries of a change whatever list it is of. The lists may differ afterwards.
    void merge(const TargetListChange &change);
    /// Takes the content of a bucket and returns what is new in it.
    TargetListChange replaceBucket(std::size_t index, const std::vector<TargetListEntry> &targets);

    std::size_t size() const;
    std::vector<TargetListEntry> targets() const;
    std::vector<TargetListEntry> bucket(std::size_t index) const;
    /// Of all that the targets say of themselves but what changes with time alone.
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
        std::uint64_t hash { 0 }; ///< Of what counts for the digest.
        std::uint64_t listing { 0 }; ///< The last whole list in which the target was.
    };
    struct Bucket
    {
        std::map<TargetId, Entry> entries;
        std::uint64_t digest { 0 };
    };
    class ChangeParts;

    static std::size_t bucketOf(const TargetId &id);
    Entry *find(const TargetId &id);
    Entry &set(const TargetListEntry &target);
    void remove(const TargetId &id);
    void removeMissing(ChangeParts &parts);
    void holdBackMissing(ChangeParts &parts);
    /// Returns the targets that were not in the last whole list.
    std::vector<TargetId> missing() const;

    std::array<Bucket, bucketCount> m_buckets;
    std::uint64_t m_digest { emptyDigest };
    std::uint64_t m_listing { 0 }; ///< Counts whole lists.
};

} // namespace Sapphire
