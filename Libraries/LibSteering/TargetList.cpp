#include <LibSteering/TargetList.h>

#include <LibCore/Hash.h>

#include <set>

namespace Sapphire {

namespace {

// A target whose cold time ends later by more than this than was known has lost its caches again.
constexpr Milliseconds coldTolerance { 500 };
// If at least this fraction of a service's targets is listed, the missing ones get no new work. If more are missing, it
// is likelier that the store lost their entries than that they left.
constexpr double leastListedFraction = 2.0 / 3;
// Number of removed targets whose last entries are remembered.
constexpr std::size_t mostRemoved = 1'024;

std::uint64_t hashOf(const TargetListEntry &target)
{
    return stableHash(target.id.text() + "\n" + target.service.text() + "\n" + target.address.text() + "\n"
                      + target.availabilityZone.text() + "\n" + std::to_string(target.slots) + "\n"
                      + std::to_string(static_cast<int>(target.isDraining)) + "\n"
                      + std::to_string(target.startedAtMilliseconds));
}

bool isSameContent(const TargetListEntry &before, const TargetListEntry &after)
{
    return before.service == after.service && before.address == after.address
        && before.availabilityZone == after.availabilityZone && before.slots == after.slots
        && before.isDraining == after.isDraining && before.startedAtMilliseconds == after.startedAtMilliseconds;
}

bool isChanged(const TargetListEntry &before, const TargetListEntry &after, TimePoint now)
{
    const bool isColdAgain = after.coldUntil > now && after.coldUntil > before.coldUntil + coldTolerance;
    return isColdAgain || !isSameContent(before, after);
}

} // namespace

/// Records the changes of a list while it is updated, in parts of limited size.
class TargetList::ChangeParts
{
public:
    ChangeParts(const TargetList &list, std::size_t mostEntries) : m_list(list), m_mostEntries(mostEntries)
    {
        begin();
    }

    /// To be called after the target was added to the list or replaced.
    void noteChanged(const TargetListEntry &target)
    {
        m_parts.back().changed.push_back(target);
        noteEntry();
    }
    /// To be called after the target was removed from the list.
    void noteRemoved(const TargetId &id)
    {
        m_parts.back().removed.push_back(id);
        noteEntry();
    }
    std::vector<TargetListChange> take()
    {
        if (m_parts.size() > 1 && m_parts.back().entryCount() == 0) {
            m_parts.pop_back();
        }
        return std::move(m_parts);
    }

private:
    void begin()
    {
        m_parts.push_back({ m_list.digest(), m_list.digest(), {}, {} });
    }
    void noteEntry()
    {
        m_parts.back().digest = m_list.digest();
        if (m_parts.back().entryCount() >= m_mostEntries) {
            begin();
        }
    }

    const TargetList &m_list;
    std::size_t m_mostEntries;
    std::vector<TargetListChange> m_parts;
};

std::size_t TargetList::bucketOf(const TargetId &id)
{
    return stableHash(id.text()) % bucketCount;
}

TargetList::Entry *TargetList::find(const TargetId &id)
{
    Bucket &bucket = m_buckets[bucketOf(id)];
    const auto found = bucket.entries.find(id);
    return found == bucket.entries.end() ? nullptr : &found->second;
}

TargetList::Entry &TargetList::set(const TargetListEntry &target)
{
    Bucket &bucket = m_buckets[bucketOf(target.id)];
    Entry &entry = bucket.entries[target.id];
    // A digest is the sum of its entries' hashes, so that the hash of an old entry can be subtracted.
    const std::uint64_t hash = hashOf(target);
    bucket.digest += hash - entry.hash;
    m_digest += hash - entry.hash;
    entry.hash = hash;
    entry.target = target;
    return entry;
}

void TargetList::remove(const TargetId &id)
{
    Bucket &bucket = m_buckets[bucketOf(id)];
    const auto found = bucket.entries.find(id);
    if (found != bucket.entries.end()) {
        bucket.digest -= found->second.hash;
        m_digest -= found->second.hash;
        const TargetListEntry &target = found->second.target;
        m_removed[id] = { target.startedAtMilliseconds, target.sequence };
        m_removedOrder.push_back(id);
        if (m_removedOrder.size() > mostRemoved) {
            m_removed.erase(m_removedOrder.front());
            m_removedOrder.pop_front();
        }
        bucket.entries.erase(found);
    }
}

std::vector<TargetListChange> TargetList::applyWhole(const std::vector<TargetListEntry> &targets,
                                                     const AbsenceGrace &grace, TimePoint now, std::size_t mostEntries)
{
    ++m_generation;
    ChangeParts parts(*this, mostEntries);
    for (const TargetListEntry &target : targets) {
        Entry *const known = find(target.id);
        if (isOutdated(target, known)) {
            if (known != nullptr) {
                known->generation = m_generation;
            }
            continue;
        }
        if (known == nullptr || isChanged(known->target, target, now)) {
            set(target).generation = m_generation;
            parts.noteChanged(target);
        } else {
            known->target.coldUntil = target.coldUntil;
            known->target.sequence = target.sequence;
            known->generation = m_generation;
        }
    }
    if (grace.isOver(now)) {
        removeMissing(parts);
    } else {
        drainMissing(parts);
    }
    return parts.take();
}

bool TargetList::isOutdated(const TargetListEntry &target, const Entry *known) const
{
    // Without the time of its start it isn't known which entries a target's numbers order.
    if (target.startedAtMilliseconds == 0) {
        return false;
    }
    if (known != nullptr) {
        return target.startedAtMilliseconds == known->target.startedAtMilliseconds
            && target.sequence < known->target.sequence;
    }
    const auto removed = m_removed.find(target.id);
    return removed != m_removed.end() && target.startedAtMilliseconds == removed->second.startedAtMilliseconds
        && target.sequence <= removed->second.sequence;
}

std::vector<TargetId> TargetList::missing() const
{
    std::vector<TargetId> missing;
    for (const Bucket &bucket : m_buckets) {
        for (const auto &[id, entry] : bucket.entries) {
            if (entry.generation != m_generation) {
                missing.push_back(id);
            }
        }
    }
    return missing;
}

void TargetList::removeMissing(ChangeParts &parts)
{
    for (const TargetId &id : missing()) {
        remove(id);
        parts.noteRemoved(id);
    }
}

void TargetList::drainMissing(ChangeParts &parts)
{
    std::map<ServiceId, double> known;
    std::map<ServiceId, double> present;
    for (const Bucket &bucket : m_buckets) {
        for (const auto &[id, entry] : bucket.entries) {
            known[entry.target.service] += 1;
            present[entry.target.service] += entry.generation == m_generation ? 1 : 0;
        }
    }
    for (const TargetId &id : missing()) {
        TargetListEntry target = find(id)->target;
        const bool isServiceMostlyListed = present[target.service] >= known[target.service] * leastListedFraction;
        if (isServiceMostlyListed && !target.isDraining) {
            target.isDraining = true;
            set(target);
            parts.noteChanged(target);
        }
    }
}

bool TargetList::applyChange(const TargetListChange &change)
{
    if (change.base != m_digest) {
        return false;
    }
    merge(change);
    return m_digest == change.digest;
}

void TargetList::merge(const TargetListChange &change)
{
    for (const TargetListEntry &target : change.changed) {
        set(target);
    }
    for (const TargetId &id : change.removed) {
        remove(id);
    }
}

TargetListChange TargetList::replaceBucket(std::size_t index, const std::vector<TargetListEntry> &targets)
{
    TargetListChange change;
    change.base = m_digest;
    std::set<TargetId> present;
    for (const TargetListEntry &target : targets) {
        if (bucketOf(target.id) != index) {
            continue;
        }
        present.insert(target.id);
        const Entry *const known = find(target.id);
        if (known == nullptr || !isSameContent(known->target, target)) {
            set(target);
            change.changed.push_back(target);
        }
    }
    for (const TargetListEntry &known : bucket(index)) {
        if (!present.contains(known.id)) {
            remove(known.id);
            change.removed.push_back(known.id);
        }
    }
    change.digest = m_digest;
    return change;
}

std::size_t TargetList::size() const
{
    std::size_t size = 0;
    for (const Bucket &bucket : m_buckets) {
        size += bucket.entries.size();
    }
    return size;
}

std::vector<TargetListEntry> TargetList::targets() const
{
    std::vector<TargetListEntry> targets;
    for (std::size_t index = 0; index < bucketCount; ++index) {
        for (TargetListEntry &target : bucket(index)) {
            targets.push_back(std::move(target));
        }
    }
    return targets;
}

std::vector<TargetListEntry> TargetList::bucket(std::size_t index) const
{
    std::vector<TargetListEntry> targets;
    for (const auto &[id, entry] : m_buckets[index].entries) {
        targets.push_back(entry.target);
    }
    return targets;
}

TargetList::BucketDigests TargetList::bucketDigests() const
{
    BucketDigests digests {};
    for (std::size_t index = 0; index < bucketCount; ++index) {
        digests[index] = m_buckets[index].digest;
    }
    return digests;
}

} // namespace Sapphire
