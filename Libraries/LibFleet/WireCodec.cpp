#include <LibFleet/WireCodec.h>

#include <algorithm>
#include <limits>

namespace Sapphire {

namespace {

/// Longer ages and remaining times are reduced to this, so that the arithmetic on time points can't overflow.
constexpr Milliseconds longestInterval { 3'600'000 };
constexpr std::uint32_t largestPort = 65'535;

std::uint32_t clampToMilliseconds(Microseconds interval)
{
    const auto whole = std::chrono::duration_cast<Milliseconds>(interval);
    return static_cast<std::uint32_t>(std::clamp(whole, Milliseconds(0), longestInterval).count());
}

template<typename Repeated>
void encodeKeys(const std::set<KeyId> &keys, Repeated &message)
{
    for (const KeyId &key : keys) {
        message.Add()->assign(key.text());
    }
}

template<typename Repeated>
std::set<KeyId> decodeKeys(const Repeated &message)
{
    std::set<KeyId> keys;
    for (const std::string &key : message) {
        keys.emplace(key);
    }
    return keys;
}

} // namespace

Result<void> require(bool isPresent, const char *what)
{
    if (!isPresent) {
        return fail(ErrorCode::InvalidArgument, std::string("a message of another VM lacks ") + what);
    }
    return {};
}

std::uint32_t encodeAge(TimePoint at, TimePoint now)
{
    // Rounded up, since a statement may look older than it is, but never younger.
    return clampToMilliseconds(now - at + Microseconds(999));
}

TimePoint decodeAge(std::uint32_t age, TimePoint measuredFrom)
{
    return measuredFrom - std::min<Milliseconds>(Milliseconds(age), longestInterval);
}

std::uint32_t encodeRemaining(Deadline deadline, TimePoint now)
{
    return clampToMilliseconds(deadline.remaining(now));
}

Deadline decodeRemaining(std::uint32_t remaining, TimePoint now)
{
    return Deadline::after(now, std::min<Milliseconds>(Milliseconds(remaining), longestInterval));
}

void encode(const VmIncarnation &process, wire::Process &message)
{
    message.set_vm(process.vm.text());
    message.set_incarnation(process.incarnation.value());
}

VmIncarnation decode(const wire::Process &message)
{
    return { VmId(message.vm()), Incarnation(message.incarnation()) };
}

void encode(const VmEndpoints &endpoints, wire::Endpoints &message)
{
    message.set_address(endpoints.address);
    message.set_caller_port(endpoints.callerPort);
    message.set_fleet_port(endpoints.fleetPort);
}

Result<VmEndpoints> decode(const wire::Endpoints &message)
{
    BOOST_LEAF_CHECK(require(!message.address().empty(), "the address of a VM"));
    if (message.caller_port() > largestPort || message.fleet_port() > largestPort) {
        return fail(ErrorCode::InvalidArgument, "a VM's port is above 65535");
    }
    return VmEndpoints { message.address(), static_cast<std::uint16_t>(message.caller_port()),
                         static_cast<std::uint16_t>(message.fleet_port()) };
}

void encode(const Statement &statement, TimePoint now, wire::Statement &message)
{
    encode(statement.process, *message.mutable_process());
    message.set_region(statement.region.text());
    message.set_age(encodeAge(statement.statedAt, now));
    message.set_version(statement.version.value());
    encodeKeys(statement.pendingWithdrawals, *message.mutable_withdrawals());
}

Result<Statement> decode(const wire::Statement &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.process().vm().empty(), "the VM of a statement"));
    BOOST_LEAF_CHECK(require(!message.region().empty(), "the region of a statement"));
    Statement statement;
    statement.process = decode(message.process());
    statement.region = RegionId(message.region());
    statement.statedAt = decodeAge(message.age(), measuredFrom);
    statement.version = ConfigurationVersion(message.version());
    statement.pendingWithdrawals = decodeKeys(message.withdrawals());
    return statement;
}

void encode(const FleetMember &member, bool withIdentity, TimePoint now, wire::Member &message)
{
    message.set_key(member.key);
    if (withIdentity) {
        encode(member.process, *message.mutable_process());
        encode(member.endpoints, *message.mutable_endpoints());
    }
    message.set_revision(member.revision);
    message.set_version(member.version.value());
    message.set_is_leaving(member.isLeaving);
    message.set_is_stale(!member.isFresh);
    encodeKeys(member.withdrawals, *message.mutable_withdrawals());
    message.set_age(encodeAge(member.heardAt, now));
}

Result<FleetMember> decode(const wire::Member &message, TimePoint measuredFrom)
{
    FleetMember member;
    member.key = message.key();
    if (message.has_process()) {
        member.process = decode(message.process());
        BOOST_LEAF_ASSIGN(member.endpoints, decode(message.endpoints()));
        if (wireKeyOf(member.process) != member.key) {
            return fail(ErrorCode::InvalidArgument,
                        "the key of member " + message.process().vm() + " doesn't match its process");
        }
    }
    member.revision = message.revision();
    member.version = ConfigurationVersion(message.version());
    member.isLeaving = message.is_leaving();
    member.isFresh = !message.is_stale();
    member.withdrawals = decodeKeys(message.withdrawals());
    member.heardAt = decodeAge(message.age(), measuredFrom);
    return member;
}

void encode(const ZoneSummary &summary, TimePoint now, wire::ZoneSummary &message)
{
    message.set_region(summary.locality.region.text());
    message.set_zone(summary.locality.availabilityZone.text());
    message.set_age(encodeAge(summary.statedAt, now));
    message.set_lowest_version(summary.lowestVersion.value());
    for (const ZoneSummary::Unconfirmed &vm : summary.unconfirmed) {
        wire::UnconfirmedVm *added = message.add_unconfirmed();
        added->set_key(vm.key);
        added->set_version(vm.version.value());
    }
    encodeKeys(summary.withdrawals, *message.mutable_withdrawals());
    message.mutable_suspects()->Add(summary.suspects.begin(), summary.suspects.end());
    message.mutable_leaving()->Add(summary.leaving.begin(), summary.leaving.end());
    message.mutable_stale()->Add(summary.stale.begin(), summary.stale.end());
    message.set_directory_digest(summary.directoryDigest);
}

Result<ZoneSummary> decode(const wire::ZoneSummary &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(
        require(!message.region().empty() && !message.zone().empty(), "the region or the zone of a zone summary"));
    ZoneSummary summary;
    summary.locality = { RegionId(message.region()), AvailabilityZoneId(message.zone()) };
    summary.statedAt = decodeAge(message.age(), measuredFrom);
    summary.lowestVersion = ConfigurationVersion(message.lowest_version());
    for (const wire::UnconfirmedVm &vm : message.unconfirmed()) {
        summary.unconfirmed.push_back({ vm.key(), ConfigurationVersion(vm.version()) });
    }
    summary.withdrawals = decodeKeys(message.withdrawals());
    summary.suspects.assign(message.suspects().begin(), message.suspects().end());
    summary.leaving.assign(message.leaving().begin(), message.leaving().end());
    summary.stale.assign(message.stale().begin(), message.stale().end());
    summary.directoryDigest = message.directory_digest();
    return summary;
}

void encode(const ZoneDirectory &directory, wire::ZoneDirectory &message)
{
    message.set_region(directory.locality.region.text());
    message.set_zone(directory.locality.availabilityZone.text());
    for (const ZoneDirectory::Vm &vm : directory.vms) {
        wire::DirectoryVm *added = message.add_vms();
        encode(vm.process, *added->mutable_process());
        encode(vm.endpoints, *added->mutable_endpoints());
    }
}

Result<ZoneDirectory> decode(const wire::ZoneDirectory &message)
{
    BOOST_LEAF_CHECK(
        require(!message.region().empty() && !message.zone().empty(), "the region or the zone of a zone directory"));
    ZoneDirectory directory { { RegionId(message.region()), AvailabilityZoneId(message.zone()) }, {} };
    for (const wire::DirectoryVm &vm : message.vms()) {
        BOOST_LEAF_CHECK(require(!vm.process().vm().empty(), "the name of a VM"));
        BOOST_LEAF_AUTO(endpoints, decode(vm.endpoints()));
        directory.vms.push_back({ decode(vm.process()), std::move(endpoints) });
    }
    return directory;
}

void encode(const TargetReport &report, TimePoint now, wire::TargetReport &message)
{
    message.set_target(report.target.text());
    message.set_observer(report.observer.text());
    message.set_age(encodeAge(report.observedAt, now));
    message.set_health(static_cast<std::uint32_t>(report.health));
    message.set_in_flight(report.inFlight);
    message.set_slots(report.slots);
    message.set_latency_microseconds(static_cast<std::uint64_t>(std::max<std::int64_t>(report.latency.count(), 0)));
}

Result<TargetReport> decode(const wire::TargetReport &message, TimePoint measuredFrom)
{
    constexpr std::uint64_t longestLatency = 3'600'000'000;
    BOOST_LEAF_CHECK(require(!message.target().empty() && !message.observer().empty(),
                             "the target or the observer of a target report"));
    if (message.health() > static_cast<std::uint32_t>(TargetHealth::Unreachable)) {
        return fail(ErrorCode::InvalidArgument, "the health of target " + message.target() + " is out of range");
    }
    TargetReport report;
    report.target = TargetId(message.target());
    report.observer = VmId(message.observer());
    report.observedAt = decodeAge(message.age(), measuredFrom);
    report.health = static_cast<TargetHealth>(message.health());
    report.inFlight = message.in_flight();
    report.slots = message.slots();
    report.latency = Microseconds(std::min(message.latency_microseconds(), longestLatency));
    return report;
}

void encode(const RegionUsage &usage, TimePoint now, wire::RegionRoom &message)
{
    message.set_region(usage.region.text());
    message.set_service(usage.service.text());
    message.set_age(encodeAge(usage.statedAt, now));
    message.set_slots(usage.slots);
    message.set_busy(usage.busy);
}

Result<RegionUsage> decode(const wire::RegionRoom &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.region().empty() && !message.service().empty(),
                             "the region or the service of a region's slot usage"));
    return RegionUsage { RegionId(message.region()), ServiceId(message.service()),
                         decodeAge(message.age(), measuredFrom), message.slots(), message.busy() };
}

void encode(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect &message)
{
    message.set_fingerprint(suspect.fingerprint.text());
    message.set_age(encodeAge(suspect.lastSeenAt, now));
    message.set_crashes(suspect.crashes);
}

Result<CrashSuspect> decode(const wire::CrashSuspect &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.fingerprint().empty(), "the fingerprint of a crash suspect"));
    return CrashSuspect { Fingerprint(message.fingerprint()), decodeAge(message.age(), measuredFrom),
                          message.crashes() };
}

} // namespace Sapphire
