#include <LibFleet/Membership.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Sapphire;

namespace {

const Locality ownLocality { RegionId("cuyo"), AvailabilityZoneId("cuyo-a") };
const Locality otherLocality { RegionId("pampa"), AvailabilityZoneId("pampa-a") };
const VmEndpoints someEndpoints { "10.0.0.1", 80, 81 };
const TimePoint start { Milliseconds(1'000'000) };

FleetMember member(const std::string &vm, std::uint64_t incarnation, std::uint64_t version, TimePoint heardAt)
{
    FleetMember entry { { VmId(vm), Incarnation(incarnation) } };
    entry.endpoints = someEndpoints;
    entry.version = ConfigurationVersion(version);
    entry.revision = 1 + version;
    entry.heardAt = heardAt;
    entry.key = wireKeyOf(entry.process);
    return entry;
}

Membership ownMembership()
{
    return Membership({ VmId("vm-0"), Incarnation(1) }, ownLocality, someEndpoints);
}

RosterVm find(const Membership &membership, const std::string &vm, TimePoint now)
{
    const std::vector<RosterVm> vms = membership.vms(now);
    const auto found = std::find_if(vms.begin(), vms.end(), [&](const RosterVm &entry) {
        return entry.process.vm == VmId(vm);
    });
    REQUIRE(found != vms.end());
    return *found;
}

} // namespace

TEST_CASE("a VM is suspect after three seconds of silence and not before")
{
    // Guards against relayed heartbeats whose age is computed wrongly.
    Membership membership = ownMembership();
    membership.takeMember(member("vm-1", 1, 0, start), start);
    CHECK_FALSE(find(membership, "vm-1", start + Milliseconds(3'000)).isSuspect);
    CHECK(find(membership, "vm-1", start + Milliseconds(3'001)).isSuspect);
    membership.noteHeartbeat(wireKeyOf({ VmId("vm-1"), Incarnation(1) }), start + Milliseconds(2'000));
    membership.noteHeartbeat(wireKeyOf({ VmId("vm-1"), Incarnation(1) }), start + Milliseconds(1'000));
    CHECK_FALSE(find(membership, "vm-1", start + Milliseconds(5'000)).isSuspect);
    CHECK_FALSE(find(membership, "vm-0", start + Milliseconds(900'000)).isSuspect);
}

TEST_CASE("a newer incarnation replaces an older one permanently")
{
    // Guards against entries of a process that has ended and that other VMs still relay.
    Membership membership = ownMembership();
    membership.takeMember(member("vm-1", 1, 7, start), start);
    membership.takeMember(member("vm-1", 2, 0, start), start);
    CHECK(find(membership, "vm-1", start).process.incarnation == Incarnation(2));
    CHECK(find(membership, "vm-1", start).confirmedVersion == ConfigurationVersion(0));
    membership.takeMember(member("vm-1", 1, 9, start + Milliseconds(500)), start);
    CHECK(find(membership, "vm-1", start).process.incarnation == Incarnation(2));
    CHECK(find(membership, "vm-1", start).confirmedVersion == ConfigurationVersion(0));
}

TEST_CASE("an older state of the same process is ignored")
{
    // Guards against a confirmed version that decreases when messages arrive out of order.
    Membership membership = ownMembership();
    membership.takeMember(member("vm-1", 1, 7, start), start);
    membership.takeMember(member("vm-1", 1, 5, start + Milliseconds(900)), start);
    CHECK(find(membership, "vm-1", start).confirmedVersion == ConfigurationVersion(7));
}

TEST_CASE("a VM notices that a newer process runs under its id")
{
    // Guards against two processes that run as the same VM.
    Membership membership = ownMembership();
    membership.takeMember(member("vm-0", 0, 0, start), start);
    CHECK_FALSE(membership.isSuperseded());
    membership.takeMember(member("vm-0", 2, 0, start), start);
    CHECK(membership.isSuperseded());
    CHECK(find(membership, "vm-0", start).process.incarnation == Incarnation(1));
}

TEST_CASE("the platform's list is merged with the entries from other VMs")
{
    // Guards against VMs that are missing because the list is outdated, and against dead VMs that are kept.
    Membership membership = ownMembership();
    membership.takeMember(member("vm-1", 1, 0, start), start);
    membership.takeList(
        { { VmId("vm-0"), ownLocality, someEndpoints, false }, { VmId("vm-2"), ownLocality, someEndpoints, true } },
        start);
    CHECK(membership.vms(start).size() == 3);
    CHECK(membership.listedVms().size() == 2);
    CHECK(find(membership, "vm-2", start).isLeaving);
    CHECK(find(membership, "vm-2", start).process.incarnation == Incarnation(0));
    CHECK_FALSE(find(membership, "vm-2", start).isSuspect);
    CHECK(find(membership, "vm-2", start + Milliseconds(7'000)).isSuspect);
    CHECK(membership.vms(start + Milliseconds(61'000)).size() == 2);
}

TEST_CASE("a summary lists the VMs with the lowest versions and gives a lower bound for the others")
{
    // Guards against a change that counts as in force although a VM that the summary doesn't list lacks it.
    Membership membership = ownMembership();
    membership.updateOwn(ConfigurationVersion(9), {});
    membership.takeMember(member("vm-1", 1, 4, start), start);
    for (int i = 2; i < 12; ++i) {
        membership.takeMember(member("vm-" + std::to_string(i), 1, 8, start), start);
    }
    const ZoneSummary summary = membership.ownSummary(start);
    REQUIRE(summary.unconfirmed.size() == 1);
    CHECK(summary.unconfirmed[0].version == ConfigurationVersion(4));
    CHECK(summary.lowestVersion == ConfigurationVersion(8));

    Membership other({ VmId("vm-90"), Incarnation(1) }, otherLocality, someEndpoints);
    other.takeSummary(summary);
    other.takeDirectory(membership.ownDirectory());
    CHECK(find(other, "vm-1", start).confirmedVersion == ConfigurationVersion(4));
    CHECK(find(other, "vm-0", start).confirmedVersion == ConfigurationVersion(8));
}

TEST_CASE("a summary of a newer directory confirms nothing of the older directory's VMs")
{
    // Guards against a restarted VM that inherits the confirmed version of its previous process.
    Membership zone({ VmId("vm-90"), Incarnation(1) }, otherLocality, someEndpoints);
    zone.takeMember(member("vm-91", 1, 5, start), start);
    zone.updateOwn(ConfigurationVersion(5), {});
    Membership membership = ownMembership();
    membership.takeSummary(zone.ownSummary(start));
    membership.takeDirectory(zone.ownDirectory());
    CHECK(find(membership, "vm-91", start).confirmedVersion == ConfigurationVersion(5));

    zone.takeMember(member("vm-91", 2, 5, start), start);
    membership.takeSummary(zone.ownSummary(start + Milliseconds(10)));
    CHECK(find(membership, "vm-91", start).confirmedVersion == ConfigurationVersion(0));
}

TEST_CASE("a withdrawal counts as known only where all VMs of the zone know it")
{
    // Guards against a withdrawal that counts as known in a zone while one of its VMs still accepts the key.
    const KeyId key("key-1");
    Membership zone({ VmId("vm-90"), Incarnation(1) }, otherLocality, someEndpoints);
    zone.updateOwn(ConfigurationVersion(1), { key });
    zone.takeMember(member("vm-91", 1, 1, start), start);
    CHECK(zone.ownSummary(start).withdrawals.empty());
    FleetMember informed = member("vm-91", 1, 1, start);
    informed.withdrawals = { key };
    ++informed.revision;
    zone.takeMember(informed, start);
    CHECK(zone.ownSummary(start).withdrawals == std::set<KeyId> { key });
}

TEST_CASE("a silent zone makes all its VMs suspect")
{
    // Guards against the undetected loss of a zone, which none of its own VMs can report.
    Membership zone({ VmId("vm-90"), Incarnation(1) }, otherLocality, someEndpoints);
    Membership membership = ownMembership();
    membership.takeSummary(zone.ownSummary(start));
    membership.takeDirectory(zone.ownDirectory());
    CHECK_FALSE(find(membership, "vm-90", start + Milliseconds(4'000)).isSuspect);
    CHECK(find(membership, "vm-90", start + Milliseconds(4'001)).isSuspect);
    CHECK(membership.refreshSummary(zone.ownSummary(start).contentKey(), start + Milliseconds(3'000)));
    CHECK_FALSE(find(membership, "vm-90", start + Milliseconds(7'000)).isSuspect);
}

TEST_CASE("a VM that has just started does not send a summary of its zone")
{
    // Guards against other zones that drop the VMs that the new VM has not heard of yet.
    Membership membership = ownMembership();
    CHECK_FALSE(membership.maySendSummary(start));
    membership.takeList(
        { { VmId("vm-0"), ownLocality, someEndpoints, false }, { VmId("vm-1"), ownLocality, someEndpoints, false } },
        start);
    CHECK_FALSE(membership.maySendSummary(start));
    membership.takeMember(member("vm-1", 1, 0, start), start);
    CHECK(membership.maySendSummary(start));
}
