#pragma once

#include <LibConfiguration/Statement.h>
#include <LibFleet/Membership.h>
#include <LibSteering/TargetReport.h>

#include <Fleet.pb.h>

namespace Sapphire {

namespace wire = sapphire::wire;

// Translates between the types of the project and the messages of Fleet.proto. Ages become points in time by the moment
// that they are measured from. Decoding fails with InvalidArgument where a part is missing or out of bounds.

std::uint32_t encodeAge(TimePoint at, TimePoint now);
TimePoint decodeAge(std::uint32_t age, TimePoint measuredFrom);
std::uint32_t encodeRemaining(Deadline deadline, TimePoint now);
Deadline decodeRemaining(std::uint32_t remaining, TimePoint now);

void encode(const VmIncarnation &process, wire::Process &message);
VmIncarnation decode(const wire::Process &message);
void encode(const VmEndpoints &endpoints, wire::Endpoints &message);
[[nodiscard]] Result<VmEndpoints> decode(const wire::Endpoints &message);

void encode(const Statement &statement, TimePoint now, wire::Statement &message);
[[nodiscard]] Result<Statement> decode(const wire::Statement &message, TimePoint measuredFrom);

/// Leaves the identity out if the other side has it.
void encode(const FleetMember &member, bool withIdentity, TimePoint now, wire::Member &message);
[[nodiscard]] Result<FleetMember> decode(const wire::Member &message, TimePoint measuredFrom);
void encode(const ZoneSummary &summary, TimePoint now, wire::ZoneSummary &message);
[[nodiscard]] Result<ZoneSummary> decode(const wire::ZoneSummary &message, TimePoint measuredFrom);
void encode(const ZoneDirectory &directory, wire::ZoneDirectory &message);
[[nodiscard]] Result<ZoneDirectory> decode(const wire::ZoneDirectory &message);

void encode(const TargetReport &report, TimePoint now, wire::TargetReport &message);
[[nodiscard]] Result<TargetReport> decode(const wire::TargetReport &message, TimePoint measuredFrom);
void encode(const RegionRoom &room, TimePoint now, wire::RegionRoom &message);
[[nodiscard]] Result<RegionRoom> decode(const wire::RegionRoom &message, TimePoint measuredFrom);
void encode(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect &message);
[[nodiscard]] Result<CrashSuspect> decode(const wire::CrashSuspect &message, TimePoint measuredFrom);

/// Fails with InvalidArgument if a message of another VM lacks what is named.
[[nodiscard]] Result<void> require(bool isPresent, const char *what);

} // namespace Sapphire
