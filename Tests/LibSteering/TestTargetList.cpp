#include <LibSteering/TargetList.h>

#include <Fakes/EndpointText.h>

#include <doctest/doctest.h>

using namespace Sapphire;

namespace {

constexpr TimePoint start { Milliseconds(1'000'000) };

TargetListEntry target(const char *id, const char *service = "s")
{
    TargetListEntry result;
    result.id = TargetId(id);
    result.service = ServiceId(service);
    result.address = endpoint("127.0.0.1:1");
    result.availabilityZone = AvailabilityZoneId("z");
    result.slots = 4;
    return result;
}

constexpr std::size_t mostEntries = 100;

/// Applies a whole list whose change fits into one part.
TargetListChange apply(TargetList &list, const std::vector<TargetListEntry> &targets, const AbsenceGrace &grace = {},
                       TimePoint now = start)
{
    const std::vector<TargetListChange> parts = list.applyWhole(targets, grace, now, mostEntries);
    REQUIRE(parts.size() == 1);
    return parts.front();
}

/// The grace period after the list has become available again.
AbsenceGrace graceAfterLoss()
{
    AbsenceGrace grace;
    grace.noteFailure();
    grace.noteSuccess(start);
    return grace;
}

std::vector<TargetId> drainingIn(const TargetList &list)
{
    std::vector<TargetId> draining;
    for (const TargetListEntry &target : list.targets()) {
        if (target.isDraining) {
            draining.push_back(target.id);
        }
    }
    return draining;
}

} // namespace

TEST_CASE("TargetList stays equal to another VM's list by applying its changes")
{
    // Guards against VMs whose lists differ after changes, or that miss that their lists differ.
    const AbsenceGrace grace;
    TargetList reader;
    TargetList follower;
    CHECK(follower.applyChange(apply(reader, { target("a"), target("b") }, grace)));
    TargetListEntry draining = target("a");
    draining.isDraining = true;
    const TargetListChange change = apply(reader, { draining, target("c") }, grace);
    CHECK(change.changed.size() == 2);
    CHECK(change.removed == std::vector { TargetId("b") });
    CHECK(follower.applyChange(change));
    CHECK(follower.digest() == reader.digest());
    CHECK(!follower.applyChange(change));
    TargetList emptyList;
    CHECK(!emptyList.applyChange(change));
}

TEST_CASE("TargetList divides a large change into consecutive parts")
{
    // Guards against a change that doesn't fit into a datagram, so that all VMs have to read the list.
    const AbsenceGrace grace;
    TargetList reader;
    std::vector<TargetListEntry> targets;
    targets.reserve(50);
    for (int i = 0; i < 50; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    apply(reader, { target("old-1"), target("old-2"), target("old-3") }, grace);
    TargetList follower = reader;
    const std::vector<TargetListChange> parts = reader.applyWhole(targets, grace, start, 10);
    CHECK(parts.size() == 6);
    for (const TargetListChange &part : parts) {
        CHECK(part.changed.size() + part.removed.size() <= 10);
        CHECK(follower.applyChange(part));
    }
    CHECK(follower.digest() == reader.digest());
    CHECK(reader.applyWhole(targets, grace, start, 10).size() == 1);
}

TEST_CASE("TargetList reports a change if a target has lost its caches again")
{
    // Guards against a cold target that gets as many requests as a warm one.
    const AbsenceGrace grace;
    TargetList list;
    apply(list, { target("a") }, grace);
    TargetListEntry cold = target("a");
    cold.coldUntil = start + Milliseconds(3'000);
    CHECK(apply(list, { cold }, grace).changed.size() == 1);
    // The end of the cold time has not changed.
    CHECK(apply(list, { cold }, grace, start + Milliseconds(1'000)).changed.empty());
}

TEST_CASE("TargetList keeps missing targets during the grace period")
{
    // Guards against dropping targets because the store lost their entries.
    const AbsenceGrace grace = graceAfterLoss();
    TargetList list;
    apply(list, { target("a"), target("b") }, grace);
    CHECK(apply(list, { target("a") }, grace).removed.empty());
    CHECK(list.targets().size() == 2);
    CHECK(apply(list, { target("a") }, grace, start + Milliseconds(3'000)).removed.size() == 1);
}

TEST_CASE("TargetList marks a few missing targets as draining during the grace period")
{
    // Guards against a VM that was disconnected while a target left, and keeps sending to it for seconds afterwards.
    const AbsenceGrace grace = graceAfterLoss();
    TargetList list;
    apply(list, { target("a"), target("b"), target("c"), target("d", "other") });
    TargetList follower = list;
    const TargetListChange change = apply(list, { target("a"), target("b"), target("d", "other") }, grace);
    CHECK(change.removed.empty());
    CHECK(drainingIn(list) == std::vector { TargetId("c") });
    CHECK(follower.applyChange(change));
    CHECK(drainingIn(follower) == std::vector { TargetId("c") });
    // The target is listed again, unchanged.
    apply(list, { target("a"), target("b"), target("c"), target("d", "other") }, grace);
    CHECK(drainingIn(list).empty());
}

TEST_CASE("TargetList does not drain missing targets if many of their service are missing")
{
    // Guards against a service that has no targets left because the store lost their entries.
    const AbsenceGrace grace = graceAfterLoss();
    TargetList list;
    apply(list, { target("a"), target("b"), target("c"), target("d", "other") });
    apply(list, { target("a"), target("d", "other") }, grace);
    CHECK(list.targets().size() == 4);
    CHECK(drainingIn(list).empty());
    apply(list, { target("a"), target("b"), target("d", "other") }, grace, start + Milliseconds(500));
    CHECK(drainingIn(list) == std::vector { TargetId("c") });
}

TEST_CASE("TargetList finds the buckets that differ from another list, and replaces them")
{
    // Guards against reading the whole list from the platform because of a few missing entries.
    constexpr std::size_t count = 2'000;
    std::vector<TargetListEntry> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(target(("t" + std::to_string(i)).c_str()));
    }
    TargetList reader;
    reader.applyWhole(targets, {}, start, mostEntries);
    TargetList other = reader;
    targets[7].isDraining = true;
    targets.pop_back();
    targets.push_back(target("new"));
    reader.applyWhole(targets, {}, start, mostEntries);
    const TargetList::BucketDigests digests = reader.bucketDigests();
    const TargetList::BucketDigests otherDigests = other.bucketDigests();
    std::size_t differing = 0;
    std::size_t entries = 0;
    for (std::size_t index = 0; index < TargetList::bucketCount; ++index) {
        if (digests[index] != otherDigests[index]) {
            ++differing;
            entries += other.replaceBucket(index, reader.bucket(index)).entryCount();
        }
    }
    CHECK(differing >= 1);
    CHECK(differing <= 3);
    CHECK(entries == 3);
    CHECK(other.digest() == reader.digest());
    CHECK(other.bucketDigests() == digests);
    CHECK(other.targets().size() == count);
}

TEST_CASE("TargetList doesn't take an entry for news that its target wrote before the one that is known")
{
    // Guards against requests to a target that drains or has left, since the platform has come back from an older copy.
    const auto entry = [](bool isDraining, std::int64_t start, std::uint64_t sequence) {
        TargetListEntry result = target("a");
        result.isDraining = isDraining;
        result.startedAtMilliseconds = start;
        result.sequence = sequence;
        return result;
    };
    TargetList list;
    apply(list, { entry(true, 1, 8) });
    CHECK(apply(list, { entry(false, 1, 7) }).entryCount() == 0);
    CHECK(drainingIn(list).size() == 1);
    CHECK(apply(list, { entry(false, 1, 9) }).entryCount() == 1);
    apply(list, {});
    CHECK(apply(list, { entry(false, 1, 8) }).entryCount() == 0);
    CHECK(apply(list, { entry(false, 1, 9) }).entryCount() == 0);
    CHECK(list.size() == 0);
    CHECK(apply(list, { entry(false, 1, 10) }).entryCount() == 1);
    // The numbers of another start, or of one that isn't known, say nothing.
    CHECK(apply(list, { entry(true, 2, 1) }).entryCount() == 1);
    CHECK(apply(list, { entry(false, 0, 0) }).entryCount() == 1);
}
